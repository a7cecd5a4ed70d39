"""Which links a router takes for broken, and when for all of them."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.server_links import ServerLinks
from tests.lib.serving_boards import make_endpoint

SERVERS = ('i-1', 'i-2', 'i-3', 'j-1', 'j-2', 'j-3')
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('record_broken', 'record_connected')),
        st.sampled_from(SERVERS),
    ),
    max_size=12,
)


def make_server(name: str) -> BackendServer:
    """Make a server; the first letter of its name is its service."""
    return BackendServer(
        name, name, name[0], make_endpoint(9), 'north', 6, leaving=False
    )


def run(steps: list[tuple[str, str]]) -> ServerLinks:
    links = ServerLinks()
    for now, (step, name) in enumerate(steps):
        server = make_server(name)
        if step == 'record_broken':
            links.record_broken(server, now, len(SERVERS) // 2)
        else:
            links.record_connected(server, now)
    return links


class Oracle:
    """Broken links, and those that broke after the last connection."""

    def __init__(self, steps: list[tuple[str, str]]) -> None:
        self.broken: set[str] = set()
        self.recent: dict[str, set[str]] = {'i': set(), 'j': set()}
        self.isolated: set[str] = set()
        for step, server in steps:
            getattr(self, step)(server, server[0])

    def broken_by(self, server: str) -> bool:
        return server[0] in self.isolated or server in self.broken

    def record_broken(self, server: str, service: str) -> None:
        self.broken.add(server)
        self.recent[service].add(server)
        if len(self.recent[service]) > 1 or self.isolated:
            self.isolated.add(service)

    def record_connected(self, server: str, service: str) -> None:
        self.broken.discard(server)
        self.recent[service].clear()
        self.isolated.discard(service)


@given(STEPS)
def test_a_router_with_several_new_broken_links_is_isolated(
    steps: list[tuple[str, str]],
) -> None:
    links, oracle = run(steps), Oracle(steps)
    assert set(links.broken) == oracle.broken
    assert set(links.isolated_since) == oracle.isolated
    for server in SERVERS:
        broken = links.is_broken(make_server(server))
        assert broken == oracle.broken_by(server)


def test_the_only_server_is_enough_to_be_isolated() -> None:
    links = ServerLinks()
    assert links.record_broken(make_server('i-1'), 0, 1)
    assert links.record_connected(make_server('i-1'), 1) == 0
    assert not links.isolated_since


def test_links_to_unlisted_servers_are_not_checked_for_ever() -> None:
    links = run([('record_broken', 'i-1')])
    assert links.pending.is_set()
    links.prune(('i-2',))
    assert not links.pending.is_set()

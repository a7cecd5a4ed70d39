"""Which links a router takes for broken, and when for all of them."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.operations.server_links import ServerLinks

SERVERS = ('i-1', 'i-2', 'i-3', 'i-4')
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('broken', 'connected')), st.sampled_from(SERVERS)
    ),
    max_size=12,
)


def run(steps: list[tuple[str, str]]) -> ServerLinks:
    links = ServerLinks()
    for now, (step, server) in enumerate(steps):
        if step == 'broken':
            links.record_broken(server, now, len(SERVERS))
        else:
            links.record_connected(server, now)
    return links


class Oracle:
    """Broken links, and those that broke after the last connection."""

    def __init__(self, steps: list[tuple[str, str]]) -> None:
        self.broken: set[str] = set()
        self.recent: set[str] = set()
        for step, server in steps:
            if step == 'broken':
                self.broken.add(server)
                self.recent.add(server)
            else:
                self.broken.discard(server)
                self.recent.clear()


@given(STEPS)
def test_a_router_with_several_new_broken_links_is_isolated(
    steps: list[tuple[str, str]],
) -> None:
    links, oracle = run(steps), Oracle(steps)
    assert set(links.broken_at) == oracle.broken
    assert links.isolated == (len(oracle.recent) > 1)
    for server in SERVERS:
        broken = links.isolated or server in oracle.broken
        assert links.is_broken(server) == broken


def test_the_only_server_is_enough_to_be_isolated() -> None:
    links = ServerLinks()
    assert links.record_broken('i-1', 0, 1)
    assert links.record_connected('i-1', 1)
    assert not links.isolated


def test_links_to_unlisted_servers_are_not_checked_for_ever() -> None:
    links = run([('broken', 'i-1')])
    assert links.pending.is_set()
    links.prune(('i-2',))
    assert not links.pending.is_set()

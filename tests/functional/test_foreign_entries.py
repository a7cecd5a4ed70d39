"""Invalid server entries, and servers that restart under their id.

Fails if an invalid entry, such as an address that is a number, ends the tasks
that read the list: the router stays ready, but about two seconds later it
responds with 503 to every request and applies no change of servers. Also fails
if a server whose entry changes from ``draining`` to ``ready`` with a later
``born`` gets no requests.
"""

import time
from typing import Any

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import send
from tests.lib.users_objects import make_server

#: Time in which an entry arrives by watch and by listing; listings are 1.4 s
#: apart.
PROPAGATION_S = 3.0


def put_entry(deployment: Deployment, name: str, **fields: Any) -> None:
    """Write the entry of the plain server with changed fields."""
    kind, _, spec = make_server(name, deployment.backend_ports['plain-0'])
    spec.update(fields)
    deployment.control('store', put=[[kind, name, spec]])


def count_served(deployment: Deployment) -> int:
    replies = [send(deployment, '/order/1') for _ in range(6)]
    return [reply.status for reply in replies].count(200)


def wait_served(deployment: Deployment, *, served: bool) -> bool:
    """Wait until requests are served, or until none is served."""
    wanted = 200 if served else 503
    return wait_until(lambda: send(deployment, '/order/1').status == wanted)


def check_learning(deployment: Deployment) -> None:
    """Check that servers are used and that changes are still applied."""
    time.sleep(PROPAGATION_S)
    assert count_served(deployment) == 6
    put_entry(deployment, 'plain-0', state='draining')
    assert wait_served(deployment, served=False)


def count_events(deployment: Deployment, event: str) -> int:
    lines = deployment.read_events('node-0')
    return sum(line['event'] == event for line in lines)


def test_foreign_entries_cost_nobody_a_server() -> None:
    deployment = Deployment(routers=1, engines=1).start()
    assert count_served(deployment) == 6
    put_entry(deployment, 'foreign-number', address=5)
    put_entry(deployment, 'foreign-list', address=['127.0.0.1:1'])
    put_entry(deployment, 'foreign-port', address='127.0.0.1:70000')
    put_entry(deployment, 'foreign-slots', slots=True)
    put_entry(deployment, 'foreign-state', state='sleeping')
    deployment.control('store', put=[['servers', 'foreign-text', 'no entry']])
    check_learning(deployment)
    deployment.stop()


def test_raw_bytes_in_an_entry_cost_nobody_a_server() -> None:
    deployment = Deployment(routers=1, engines=1).start()
    deployment.control('store', raw='{"a": "\udcff", "b": NaN, "c": \x01}')
    check_learning(deployment)
    deployment.stop()


def test_an_entry_that_becomes_unreadable_names_no_server() -> None:
    deployment = Deployment(routers=1, engines=1).start()
    put_entry(deployment, 'plain-0', slots='6')
    assert wait_served(deployment, served=False)
    put_entry(deployment, 'plain-0')
    assert wait_served(deployment, served=True)
    deployment.stop()


def test_a_server_that_starts_again_under_its_id_is_used() -> None:
    deployment = Deployment(routers=2, engines=1).start()
    put_entry(deployment, 'plain-0', born=1_000, sequence=9)
    put_entry(deployment, 'plain-0', born=1_000, sequence=10, state='draining')
    assert wait_served(deployment, served=False)
    put_entry(deployment, 'plain-0', born=2_000, sequence=1)
    assert wait_served(deployment, served=True)
    # Gossip messages about the earlier incarnation still circulate.
    time.sleep(PROPAGATION_S)
    assert count_served(deployment) == 6
    assert count_events(deployment, 'server_started_again') >= 1
    deployment.stop()


def test_a_start_is_known_by_its_sequence_where_no_birth_is_told() -> None:
    deployment = Deployment(routers=1, engines=1).start()
    put_entry(deployment, 'plain-0', sequence=9)
    put_entry(deployment, 'plain-0', sequence=10, state='draining')
    assert wait_served(deployment, served=False)
    put_entry(deployment, 'plain-0', sequence=1)
    assert wait_served(deployment, served=True)
    deployment.stop()

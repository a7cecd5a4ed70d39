"""Ports for programs that listen later."""

from tools.ports import PORTS, find_ports


def test_no_port_is_given_twice_or_by_the_system() -> None:
    # A run of the soak asked a server what it had run, and the store answered:
    # its port had been found, and was then given to a proxy of the store that
    # asked the system for any port before the server listened.
    found = [port for _ in range(50) for port in find_ports(8)]
    assert len(set(found)) == len(found)
    assert set(found) <= set(PORTS)
    assert max(PORTS) < 32_768

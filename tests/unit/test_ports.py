"""Ports for programs that listen later."""

import contextlib
import socket
import subprocess
import sys

from tools.ports import PORTS, find_ports

#: Prints a port if another process may reserve it.
RESERVE = 'import sys, tools.ports as p; print(p._reserve(int(sys.argv[1])))'


def test_no_port_is_given_twice_or_by_the_system() -> None:
    # A run of the soak asked a server what it had run, and the store answered:
    # its port had been found, and was then given to a proxy of the store that
    # asked the system for any port before the server listened.
    found = [port for _ in range(50) for port in find_ports(8)]
    assert len(set(found)) == len(found)
    assert set(found) <= set(PORTS)
    assert max(PORTS) < 32_768


def test_a_port_is_kept_for_whoever_found_it() -> None:
    # Of two runs of the tests at once one got 404 of another program in place
    # of its plain service: both had found the port before either listened.
    port = find_ports(1)[0]
    command = [sys.executable, '-c', RESERVE, str(port)]
    other = subprocess.run(command, capture_output=True, check=True)
    assert other.stdout.strip() == b'False'
    with contextlib.closing(socket.create_server(('127.0.0.1', port))) as own:
        assert own.getsockname()[1] == port

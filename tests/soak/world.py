"""One run of a soak: real processes, proxies between them, and faults."""

import threading
import time
from typing import Any

from tests.lib.deployment import Deployment
from tests.lib.users_objects import (
    ROUTES,
    make_configuration,
    make_foreign,
    make_next_start,
    make_route,
)
from tests.soak import asks, copies, crashes, halls, partitions, versions
from tests.soak.faults import Fault
from tests.soak.history import ROUTE_ADDED, End, History
from tests.soak.links import Links
from tests.soak.proxy import STALE
from tests.soak.routers import Routers, freeze
from tests.soak.sizes import Size

Fields = dict[str, Any]

PREPAID = 60_000
#: Tokens that changes raise and lower the budget by.
CHANGE = 20_000
#: Seconds that each call of a slow store takes longer.
SLOW = 0.4
#: Seconds in which a call whose answer was lost is given up and made again.
LOST_TIME = 3.0


class World:
    """A deployment with a proxy on each link."""

    def __init__(self, size: Size, prepaid: int = PREPAID) -> None:
        self.deployment = Deployment(size.routers, size.engines)
        self.most_prepaid = prepaid
        self.left_at: dict[str, float] = {}
        #: What servers saw that were replaced, by name.
        self.ended_servers: list[tuple[str, Fields]] = []
        #: What the configuration holds besides.
        self.configured: Fields = {}
        self.history = History()
        self._links = Links()
        self._version = 1
        self._prepaid = prepaid
        self._routes = ROUTES
        self._timers: list[threading.Timer] = []
        self._routers = Routers(self.deployment, self.history, self._later)
        self._cold = halls.ColdServers(self.deployment, self.history)
        self._emptied = halls.EmptiedHalls(self.deployment, self.history)
        self._crashes = crashes.Crashes(
            self.deployment, self.history, self._later
        )

    def start(self) -> None:
        self._links.start()
        ports = self.deployment.backend_ports
        for name in set(ports) - {'store'}:
            opened = self._links.open(name, ports[name])
            self.deployment.listed_ports[name] = opened
        for router in self.deployment.names:
            opened = self._links.open(router, ports['store'])
            self.deployment.store_ports[router] = opened
        self.deployment.start(prepaid=self._prepaid, **self.configured)

    def strike(self, fault: Fault) -> None:
        """Bring a fault about; its end comes by itself."""
        getattr(self, f'_{fault.kind}')(fault)

    def wait_calm(self) -> None:
        """Wait until all that was begun is over."""
        for timer in self._timers:
            timer.join()
        self._crashes.wait_all_up()

    def stop(self) -> None:
        self.wait_calm()
        self._crashes.stop()
        self.deployment.stop()
        self._links.stop()

    def _later(self, seconds: float, run: Any, *words: Any) -> None:
        timer = threading.Timer(seconds, run, words)
        self._timers.append(timer)
        timer.start()

    def _kill(self, fault: Fault) -> None:
        self._routers.kill(fault.target, fault.lasts)

    def _kill_all(self, fault: Fault) -> None:
        for name in self.deployment.names:
            self._routers.kill(name, fault.lasts)

    def _stop(self, fault: Fault) -> None:
        self._routers.stop(fault.target)

    def _freeze(self, fault: Fault) -> None:
        end = self.history.begin('freeze', fault.target)
        freeze(
            self.deployment,
            fault.target,
            end,
            lambda thaw: self._later(fault.lasts, thaw),
        )

    def _crash(self, fault: Fault) -> None:
        """Have a request asked that ends the servers that run it."""
        self._crashes.ask(fault.lasts, fault.how)

    def _evacuate(self, fault: Fault) -> None:
        self._emptied.ask(fault.target)
        self._later(fault.lasts, self._emptied.take_back, fault.target)

    def _cool(self, fault: Fault) -> None:
        self._later(fault.lasts, self._cold.cool(fault.target))

    def _reload(self, fault: Fault) -> None:
        self._routers.reload(fault.target)

    def _store(self, fault: Fault) -> None:
        end = self.history.begin('store', 'store')
        fields, mended = _read_store_fault(fault)
        self.deployment.control('store', **fields)
        lasts = fault.lasts if mended else fault.lasts + LOST_TIME
        self._later(lasts, self._mend, 'store', mended, end)

    def _restore(self, fault: Fault) -> None:
        """Have the store keep a copy, and return from it."""
        self.deployment.control('store', copy=True)
        self._later(fault.lasts, self._return)

    def _return(self) -> None:
        end = self.history.begin('store', 'store')
        copies.restore(self.deployment)
        end()

    def _mend(self, name: str, fields: Fields, end: End) -> None:
        self.deployment.control(name, **fields)
        end()

    def _link(self, fault: Fault) -> None:
        end = self.history.begin('link', fault.target)
        self._links.switch(fault.target, fault.how)
        if fault.how == STALE:
            # What is silent stays so; what is opened from now on works.
            end()
        else:
            self._later(fault.lasts, self._mend_link, fault.target, end)

    def _mend_link(self, name: str, end: End) -> None:
        self._links.switch(name, '')
        end()

    def _partition(self, fault: Fault) -> None:
        end = self.history.begin('partition', fault.target)
        partitions.set_links(self.deployment, fault.target, fault.how)
        self._later(fault.lasts, self._mend_links, fault.target, end)

    def _apart(self, fault: Fault) -> None:
        end = self.history.begin('apart', fault.target)
        partitions.set_links(self.deployment, fault.target, fault.how)
        self._later(fault.lasts, self._mend_links, fault.target, end)

    def _mend_links(self, router: str, end: End) -> None:
        partitions.set_links(self.deployment, router)
        end()

    def _server(self, fault: Fault) -> None:
        end = self.history.begin('server', fault.target)
        self.deployment.control(fault.target, fault=fault.how)
        self._later(fault.lasts, self._mend, fault.target, {'fault': ''}, end)

    def _ask(self, fault: Fault) -> None:
        """Have a server ask for something; one that left starts again."""
        end = asks.begin_ask(self.deployment, self.history, fault)
        self._later(fault.lasts, self._end_ask, fault, end)

    def _end_ask(self, fault: Fault, end: End) -> None:
        self._mend(fault.target, {'fields': {}, 'fault': ''}, end)
        if fault.how == 'leaving':
            # Routers may send to the next start before the call returns.
            self._start_again(fault.target, _ignore)

    def _leave(self, fault: Fault) -> None:
        stored = self.deployment.read_object('servers', fault.target)
        changed = ['servers', fault.target, {**stored, 'state': 'draining'}]
        self.deployment.control('store', put=[changed])
        self.left_at.setdefault(fault.target, time.monotonic())
        self.history.begin('leave', fault.target)()

    def _foreign(self, fault: Fault) -> None:
        self.deployment.control('store', put=[make_foreign(fault.how)])
        self.history.begin('foreign', fault.how)()

    def _reborn(self, fault: Fault) -> None:
        """Have a server leave, and start again under its id."""
        stored = self.deployment.read_object('servers', fault.target)
        leaving = ['servers', fault.target, {**stored, 'state': 'draining'}]
        end = self.history.begin('reborn', fault.target)
        self.deployment.control('store', put=[leaving])
        self._later(fault.lasts, self._start_again, fault.target, end)

    def _start_again(self, server: str, end: End) -> None:
        # Whoever left before is another server than the one that starts now.
        self.left_at.pop(server, None)
        stored = self.deployment.read_object('servers', server)
        started = make_next_start(server, stored)
        self.deployment.control('store', put=[started])
        end()

    def _release(self, fault: Fault) -> None:
        """Replace a server by one of another version."""
        if not self.deployment.is_listening(fault.target):
            return
        end = self.history.begin('server', fault.target)
        told = versions.stop_server(self.deployment, fault.target)
        self.ended_servers.append((fault.target, told))
        self._later(
            fault.lasts,
            versions.start_server,
            self.deployment,
            fault.target,
            end,
        )

    def _configure(self, fault: Fault) -> None:
        self._version += 3
        if fault.how == 'routes':
            self._routes = (*ROUTES[1:], make_route('/new/'))
        elif fault.how == 'raise':
            self._prepaid += CHANGE
        else:
            self._prepaid -= CHANGE
        self.most_prepaid = max(self.most_prepaid, self._prepaid)
        spec = make_configuration(
            self._version,
            max(1000, self._prepaid),
            self._routes,
            **self.configured,
        )
        end = self.history.begin('configure', 'store')
        self.deployment.control('store', put=[['config', 'main', spec]])
        end()
        if fault.how == 'routes':
            self.history.begin(ROUTE_ADDED, 'store')()


def _ignore() -> None:
    """End nothing: the event has ended before."""


def _read_store_fault(fault: Fault) -> tuple[Fields, Fields]:
    """Tell what to set at the store, and what when the fault is over."""
    if fault.how == 'lose':
        return {'lose': 3, 'late': fault.lasts}, {}
    if fault.how == 'slow':
        return {'latency': SLOW}, {'latency': 0}
    mended = {fault.how: False, 'forget': fault.how == 'deaf'}
    return {fault.how: True}, mended

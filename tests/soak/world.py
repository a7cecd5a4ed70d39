"""One run of a soak: real processes, proxies between them, and faults."""

import asyncio
import signal
import threading
import time
from typing import Any

from tests.lib.deployment import Deployment
from tests.lib.users_objects import ROUTES, make_configuration, make_route
from tests.soak.plan import ENGINES, ROUTERS, Fault
from tests.soak.promises import Run
from tests.soak.proxy import Proxy

PREPAID = 60_000


class World:
    """A deployment with a proxy on each link."""

    def __init__(self) -> None:
        self.deployment = Deployment(ROUTERS, ENGINES)
        self.most_prepaid = PREPAID
        self.left_at: dict[str, float] = {}
        self._proxies: dict[str, Proxy] = {}
        self._version = 1
        self._prepaid = PREPAID
        self._routes = ROUTES
        self._loop = asyncio.new_event_loop()
        # Proxies that are ended with their connections open are no news.
        self._loop.set_exception_handler(_ignore)
        self._timers: list[threading.Timer] = []

    def start(self) -> None:
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        ports = self.deployment.backend_ports
        for name, port in ports.items():
            if name != 'store':
                self._open_proxy(name, port)
                self.deployment.listed_ports[name] = self._proxies[name].port
        for name in self.deployment.names:
            self._open_proxy(name, ports['store'])
            self.deployment.store_ports[name] = self._proxies[name].port
        self.deployment.start(prepaid=PREPAID)

    def strike(self, fault: Fault) -> None:
        """Bring a fault about; its end comes by itself."""
        getattr(self, f'_{fault.kind}')(fault)

    def stop(self) -> None:
        for timer in self._timers:
            timer.join()
        self.deployment.stop()
        asyncio.run_coroutine_threadsafe(_end_tasks(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def read_runs(self) -> dict[str, list[Run]]:
        names = [name for name in self.deployment.backend_ports]
        names.remove('store')
        return {name: self.deployment.control(name)['runs'] for name in names}

    def _open_proxy(self, name: str, port: int) -> None:
        proxy = Proxy(port)
        started = asyncio.run_coroutine_threadsafe(proxy.start(), self._loop)
        started.result(5)
        self._proxies[name] = proxy

    def _later(self, seconds: float, run: Any, *words: Any) -> None:
        timer = threading.Timer(seconds, run, words)
        self._timers.append(timer)
        timer.start()

    def _kill(self, fault: Fault) -> None:
        self.deployment.processes.kill(fault.target)
        self._later(fault.lasts, self._restart, fault.target)

    def _kill_all(self, fault: Fault) -> None:
        for name in self.deployment.names:
            self._kill(fault._replace(target=name))

    def _stop(self, fault: Fault) -> None:
        process = self.deployment.processes.running[fault.target]
        process.send_signal(signal.SIGTERM)
        self._later(8, self._restart, fault.target)

    def _freeze(self, fault: Fault) -> None:
        process = self.deployment.processes.running[fault.target]
        process.send_signal(signal.SIGSTOP)
        self._later(fault.lasts, process.send_signal, signal.SIGCONT)

    def _reload(self, fault: Fault) -> None:
        process = self.deployment.processes.running[fault.target]
        process.send_signal(signal.SIGHUP)

    def _restart(self, name: str) -> None:
        # Only one process of an instance runs at a time.
        self.deployment.processes.kill(name)
        self.deployment.start_router(name)

    def _store(self, fault: Fault) -> None:
        if fault.how == 'lose':
            self.deployment.control('store', lose=3, late=fault.lasts)
            return
        self.deployment.control('store', **{fault.how: True})
        end = {fault.how: False, 'forget': fault.how == 'deaf'}
        self._later(fault.lasts, self._control_store, end)

    def _control_store(self, fields: dict[str, Any]) -> None:
        self.deployment.control('store', **fields)

    def _link(self, fault: Fault) -> None:
        proxy = self._proxies[fault.target]
        self._loop.call_soon_threadsafe(proxy.switch, fault.how)
        self._later(
            fault.lasts, self._loop.call_soon_threadsafe, proxy.switch, ''
        )

    def _server(self, fault: Fault) -> None:
        self.deployment.control(fault.target, fault=fault.how)
        self._later(fault.lasts, self._mend_server, fault.target)

    def _mend_server(self, name: str) -> None:
        self.deployment.control(name, fault='')

    def _leave(self, fault: Fault) -> None:
        stored = self.deployment.read_object('servers', fault.target)
        changed = ['servers', fault.target, {**stored, 'state': 'draining'}]
        self.deployment.control('store', put=[changed])
        self.left_at.setdefault(fault.target, time.monotonic())

    def _configure(self, fault: Fault) -> None:
        self._version += 3
        if fault.how == 'routes':
            self._routes = (*ROUTES[1:], make_route('/new/'))
        elif fault.how == 'raise':
            self._prepaid += 20_000
        else:
            self._prepaid -= 20_000
        self.most_prepaid = max(self.most_prepaid, self._prepaid)
        spec = make_configuration(
            self._version, max(1000, self._prepaid), self._routes
        )
        self.deployment.control('store', put=[['config', 'main', spec]])


def _ignore(*_: Any) -> None:
    """Take no note of an error."""


async def _end_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

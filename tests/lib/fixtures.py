"""Fixtures that several test files share."""

import atexit
import functools
from collections.abc import Callable
from typing import Any

from tools.calls import call
from tools.fleet import Fleet, call_admin
from tools.layout import HOST, plan_layout
from tools.polling import poll_until


@functools.cache
def start_fleet() -> Fleet:
    """Start one small fleet for all functional tests."""
    fleet = Fleet(plan_layout(routers=3, engines=2))
    atexit.register(fleet.stop)
    fleet.start()
    return fleet


def make_fleet(routers: int = 3, **settings: Any) -> Fleet:
    """Start a fleet that one test may break."""
    fleet = Fleet(plan_layout(routers=routers, engines=2), **settings)
    atexit.register(fleet.stop)
    fleet.start()
    return fleet


def find_bills(fleet: Fleet, key: str, router: int = 1) -> list[dict]:
    """Find the bills under one idempotency key of ``joinville``."""
    path = '/admin/bills?workspace=joinville'
    bills = call_admin(fleet, path, None, router)
    return [bill for bill in bills if bill['key'] == f'joinville|{key}']


def wait_until(is_done: Callable[[], bool], timeout_s: float = 20) -> bool:
    """Poll until the condition is true or the timeout is over."""
    return poll_until(is_done, timeout_s)


def ask_caller_api(fleet: Fleet, router: int, path: str) -> Any:
    """Get a path from a router's caller address."""
    port = fleet.layout.routers[router].caller_port
    return call(f'http://{HOST}:{port}{path}')


def count_calls(fleet: Fleet) -> dict[str, int]:
    """Count the runs at the plain service by idempotency key."""
    port = fleet.layout.plains[0].port
    return call(f'http://{HOST}:{port}/counts')


def count_bills(fleet: Fleet, keys: list[str]) -> set[int]:
    """Return the distinct numbers of bills; ``{1}`` if each key has one."""
    return {len(find_bills(fleet, key)) for key in keys}

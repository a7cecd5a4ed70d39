"""Fixtures that several test files share."""

import atexit
import functools

from tools.fleet import Fleet
from tools.layout import plan_layout


@functools.cache
def start_fleet() -> Fleet:
    """Start one small fleet for all functional tests."""
    fleet = Fleet(plan_layout(routers=3, engines=2))
    atexit.register(fleet.stop)
    fleet.start()
    return fleet

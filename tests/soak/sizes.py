"""How large a soak run is."""

from types import MappingProxyType
from typing import NamedTuple

MOST_ROLLED = 12


class Size(NamedTuple):
    """Processes and callers of one run."""

    routers: int
    engines: int
    callers: int

    def list_routers(self) -> list[str]:
        return [f'node-{number}' for number in range(self.routers)]

    def list_servers(self) -> list[str]:
        engines = [f'engine-{number}' for number in range(self.engines)]
        return [*engines, 'plain-0']

    def count_rolled(self) -> int:
        """Count the routers that one roll stops."""
        return min(self.routers, MOST_ROLLED)


SMALL = Size(routers=3, engines=2, callers=24)
LARGE = Size(routers=40, engines=10, callers=60)
SIZES = MappingProxyType({'small': SMALL, 'large': LARGE})

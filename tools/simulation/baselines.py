"""Baselines: other ways of sharing a budget."""

from tools.simulation.model import ROUTERS, Sharing, World


def share_equally(world: World) -> Sharing:
    """Give each router a fixed equal part.

    :param world: clock and net.
    :returns: the way of sharing.
    """
    room = [world.paid // ROUTERS for _ in range(ROUTERS)]

    def take(router: int, tokens: int, now: float) -> bool:
        if room[router] < tokens:
            return False
        room[router] -= tokens
        return True

    def settle(router: int, held: int, used: int) -> None:
        room[router] += held - used

    return Sharing(take, settle, lambda router, now: None)


def share_by_asking(world: World) -> Sharing:
    """Ask the platform for each request.

    :param world: clock and net.
    :returns: the way of sharing.
    """
    room = [world.paid]

    def take(router: int, tokens: int, now: float) -> bool:
        if not world.net.platform or room[0] < tokens:
            return False
        world.writes += 2
        room[0] -= tokens
        return True

    def settle(router: int, held: int, used: int) -> None:
        room[0] += held - used

    return Sharing(take, settle, lambda router, now: None)

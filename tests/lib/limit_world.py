"""Model of routers that send to a server with a rate limit, for fuzz tests."""

from dykemast._internal.operations.server_limits import NO_LIMIT, ServerLimits
from dykemast._internal.operations.shared_rate_limiter import SharedRateLimiter

SERVER = 'i-1/7'
#: Seconds after a limit was first sent from which it is checked, length of the
#: window in which requests are counted, and seconds within which a router has
#: to know a limit.
SETTLING_TIME_S = 3.0
WINDOW_S = 4.0
LEARNING_TIME_S = 0.5
#: Allowed excess over a limit, as a factor and as a number of requests.
OVERSHOOT = 1.5
SLACK = 5
#: Requests that a router without a limit sends at the same time.
BURST_REQUESTS = 3


class Router:
    """One router, its known limits, and when it received the first one."""

    def __init__(self, name: str, started_at: float) -> None:
        self.name = name
        self.limits = ServerLimits()
        self.limiter = SharedRateLimiter(name, started_at)
        self.answered_at: float | None = None


class LimitedFleet:
    """Routers that send to one server."""

    def __init__(self, count: int, limit: float) -> None:
        self.limit = limit
        self.now = float()
        self.named_at = float()
        names = [f'node-{number}' for number in range(count)]
        self.routers = [Router(name, -1e9) for name in names]
        self.views = {name: frozenset(names) for name in names}
        self.counted: list[float] = []

    def find(self, number: int) -> Router:
        return self.routers[number % len(self.routers)]

    def send_burst(self, number: int) -> None:
        """Have one router send as much as it may."""
        router = self.find(number)
        for _ in range(BURST_REQUESTS):
            if self.compute_wait(router):
                return
            self.send(router)

    def compute_wait(self, router: Router) -> float:
        known = router.limits.find(SERVER)
        if known is None:
            return 0
        return router.limiter.compute_wait(
            SERVER,
            self.views[router.name],
            known.rate,
            self.now,
            known.answered_at,
        )

    def send(self, router: Router) -> None:
        router.limiter.record_sent(SERVER, self.now)
        knows = router.answered_at is not None
        if knows and self.now - router.answered_at >= LEARNING_TIME_S:
            self.counted.append(self.now)
        router.limits.record(SERVER, self.limit or NO_LIMIT, self.now)
        if self.limit and not knows:
            router.answered_at = self.now

    def gossip(self, sender: int, receiver: int) -> None:
        exported = self.find(sender).limits.export(self.now)
        self.find(receiver).limits.merge(exported, self.now)

    def name_limit(self, limit: float) -> None:
        """Set, change or end the limit of the server."""
        self.limit = limit
        self.named_at = self.now
        self.counted = []
        for router in self.routers:
            router.answered_at = None


def restart(fleet: LimitedFleet, number: int) -> None:
    """Restart one router with empty state."""
    at = number % len(fleet.routers)
    fleet.routers[at] = Router(fleet.routers[at].name, fleet.now)


def count_busiest(fleet: LimitedFleet) -> int:
    """Count the requests of the busiest window."""
    since = fleet.named_at + SETTLING_TIME_S
    times = [at for at in fleet.counted if at >= since]
    return max(
        (
            sum(begin <= at < begin + WINDOW_S for at in times)
            for begin in times
        ),
        default=0,
    )

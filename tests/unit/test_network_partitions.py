"""Service during a network partition that isolates every router.

Guards against refusals for lack of tokens while the budget is nearly unused:
routers need spare tokens for the length of a partition, and the time before
the first request is not idle time of their demand.
"""

import itertools
from typing import NamedTuple

from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.operations.allowance_terms import (
    Identity,
    Terms,
    Usage,
    TokenRequest,
)
from dykemast._internal.operations.demand import Demand
from dykemast._internal.operations.ledger_rows import plan_ledger
from dykemast._internal.operations.retry_after import (
    OTHER_ROUTER_RETRY_S,
    OUTAGE_RETRY_S,
    compute_retry_after,
)

ROUTERS = 7
PREPAID = 948_386
#: Interval between requests at one router, and tokens of each in turn: one
#: long prompt among seven short ones.
REQUEST_INTERVAL_S = 0.9
SIZES = (1100, 1100, 9500, 1100, 1100, 1100, 1100, 1100)
PARTITION_START_S, PARTITION_END_S = 5.6, 14.2
OWN = Identity('node-0', 'node-0/1')


class Router:
    """One router's row of the budget, and the requests that reach it."""

    def __init__(self, number: int) -> None:
        self.identity = Identity(f'node-{number}', f'node-{number}/1')
        self.demand = Demand()
        self.used = 0
        self.limit = 0

    def write(self, ledger: BudgetLedger | None, now: float) -> BudgetLedger:
        planned = plan_ledger(
            ledger,
            self.identity,
            Usage(self.used, self.used),
            Terms(1, PREPAID, ROUTERS),
            TokenRequest(0, self.demand.compute_rate(now)),
        )
        self.limit = planned.rows[self.identity.incarnation].limit
        return planned

    def serve(self, arrival: 'Arrival') -> bool:
        self.demand.record(arrival.tokens, arrival.at)
        if self.limit - self.used < arrival.tokens:
            return False
        self.used += arrival.tokens
        return True


class Arrival(NamedTuple):
    """A request that reaches a router."""

    at: float
    router: int
    tokens: int


class Served(NamedTuple):
    """Counts of requests during the partition."""

    asked: int
    served: int


def list_requests() -> list[Arrival]:
    """List all requests until the end of the partition, evenly distributed."""
    turns = range(int(PARTITION_END_S / REQUEST_INTERVAL_S))
    return list(
        itertools.starmap(
            make_arrival, itertools.product(turns, range(ROUTERS))
        )
    )


def make_arrival(turn: int, number: int) -> Arrival:
    """Make one request."""
    at = (turn + number / ROUTERS) * REQUEST_INTERVAL_S
    return Arrival(at, number, SIZES[(turn + number) % len(SIZES)])


def serve_before_partition(
    routers: list[Router], arrivals: list[Arrival]
) -> None:
    """Use the budget while the store is available."""
    ledger = None
    for at, number, tokens in arrivals:
        routers[number].demand.record(tokens, at)
        routers[number].used += tokens
        ledger = routers[number].write(ledger, at)


def simulate_partition() -> Served:
    """Simulate the load until the end of the partition."""
    routers = [Router(number) for number in range(ROUTERS)]
    arrivals = list_requests()
    serve_before_partition(
        routers, [one for one in arrivals if one.at < PARTITION_START_S]
    )
    later = [one for one in arrivals if one.at >= PARTITION_START_S]
    served = sum(routers[one.router].serve(one) for one in later)
    return Served(len(later), served)


def test_callers_are_served_in_a_partition_while_the_budget_lasts() -> None:
    played = simulate_partition()
    assert played.asked > 60
    assert played.served > 0.9 * played.asked


def test_demand_is_known_soon() -> None:
    demand = Demand()
    for second in range(5):
        demand.record(1000, second)
    assert 800 < demand.compute_rate(5) < 1200
    # A single large request is not a rate.
    alone = Demand()
    alone.record(10_000, 0)
    assert alone.compute_rate(0) < 3500
    assert not Demand().compute_rate(0)


def make_ledger(*spare: int) -> BudgetLedger:
    """Make a budget whose other routers have the given spare tokens."""
    rows = {OWN.incarnation: LedgerRow(OWN.instance, 500, 500, 500, 100)}
    for number, tokens in enumerate(spare, 1):
        name = f'node-{number}'
        rows[f'{name}/1'] = LedgerRow(name, 800 + tokens, 800, 800, 100)
    return BudgetLedger(1, PREPAID, rows)


def test_callers_return_at_once_where_others_have_tokens() -> None:
    # A Retry-After of 4 s for all is too long: a response then counts a third.
    rich = make_ledger(9000, 9000, 9000)
    assert compute_retry_after(rich, OWN, 1000, 1) == OTHER_ROUTER_RETRY_S
    assert compute_retry_after(None, OWN, 1000, 1) == OTHER_ROUTER_RETRY_S


def test_callers_are_not_sent_round_where_all_are_short() -> None:
    poor = make_ledger(900, 900, 900)
    assert compute_retry_after(poor, OWN, 1000, 0) == OUTAGE_RETRY_S
    one_of_four = make_ledger(9000, 0, 0, 0)
    assert compute_retry_after(one_of_four, OWN, 1000, 0) == OUTAGE_RETRY_S
    # The others have used their spare tokens since the budget was read.
    rich = make_ledger(9000, 9000, 9000)
    assert compute_retry_after(rich, OWN, 1000, 85) == OUTAGE_RETRY_S

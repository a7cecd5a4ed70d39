"""Rows of a budget: how much each router may consume."""

from typing import Final

from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.operations.allowance_terms import (
    Identity,
    Terms,
    Usage,
    Want,
)

#: Part of the unused tokens that all routers together may keep spare. What
#: is spare serves requests in a cut, and is lost when its router dies; this
#: figure and those below are from trials on days that have both
#: (docs/design/machines.md).
SPARE_SHARE: Final = 0.5
#: Seconds of demand to keep spare at most.
SPARE_TIME: Final = 4.0
#: Tokens to keep spare beyond that: a request of the larger kind.
SPARE_FLOOR: Final = 8000
#: Part of the mean demand that counts for each router, so that one without
#: requests so far gets something too.
DEMAND_FLOOR: Final = 0.1
#: Tokens a second that count for each router at least.
MIN_DEMAND: Final = 100


def plan_ledger(
    ledger: BudgetLedger | None,
    identity: Identity,
    usage: Usage,
    terms: Terms,
    want: Want,
) -> BudgetLedger:
    """Plan the next state of a budget with a new row of one router.

    :param ledger: the state that the write will replace; None for none.
    :param identity: the router.
    :param usage: what it used.
    :param terms: what bounds the row.
    :param want: what the row should allow beyond its use.
    :returns: the state to write.
    """
    ledger = _adopt_terms(ledger, terms)
    ledger = close_rows(ledger, identity)
    stored = ledger.rows.get(identity.incarnation)
    before = stored.limit if stored else 0
    free = max(0, ledger.count_free() + before - usage.charged)
    granted = min(free, want.pending)
    charged = usage.charged + granted
    rows = {
        **ledger.rows,
        identity.incarnation: LedgerRow(
            instance=identity.instance,
            limit=charged,
            spent=usage.spent,
            charged=charged,
            demand=round(want.demand, 1),
        ),
    }
    planned = ledger._replace(rows=rows)
    if not want.spare:
        return planned
    spare = measure_spare(planned, identity, terms.routers)
    return _add_spare(planned, identity, min(free - granted, spare))


def close_rows(ledger: BudgetLedger, identity: Identity) -> BudgetLedger:
    """Charge the rows of earlier processes on an instance in full.

    They have ended, since another one runs there; what they consumed beyond
    what they wrote is not known.

    :param ledger: the budget.
    :param identity: the process that runs now.
    :returns: the budget without these rows.
    """
    ended = {
        name: row
        for name, row in ledger.rows.items()
        if row.instance == identity.instance and name != identity.incarnation
    }
    limits = sum(row.limit for row in ended.values())
    spent = sum(row.spent for row in ended.values())
    return ledger._replace(
        rows={
            name: row for name, row in ledger.rows.items() if name not in ended
        },
        closed=ledger.closed + limits,
        closed_spent=ledger.closed_spent + spent,
    )


def measure_spare(
    ledger: BudgetLedger,
    identity: Identity,
    routers: int,
) -> int:
    """Measure how many tokens one router may keep spare.

    Spare tokens go where requests come: those of a workspace often meet one
    router only.

    :param ledger: the budget, with a row of the router.
    :param identity: the router.
    :param routers: routers that share the budget.
    :returns: tokens.
    """
    rows = ledger.rows
    demand = rows[identity.incarnation].demand
    total = sum(row.demand for row in rows.values())
    floor = MIN_DEMAND + DEMAND_FLOOR * total / max(1, routers)
    share = (demand + floor) / (total + floor * max(routers, len(rows)))
    most = SPARE_SHARE * max(0, ledger.count_unused()) * share
    return int(min(SPARE_FLOOR + SPARE_TIME * demand, most))


def _add_spare(
    ledger: BudgetLedger,
    identity: Identity,
    spare: int,
) -> BudgetLedger:
    row = ledger.rows[identity.incarnation]
    row = row._replace(limit=row.limit + spare)
    return ledger._replace(rows={**ledger.rows, identity.incarnation: row})


def _adopt_terms(ledger: BudgetLedger | None, terms: Terms) -> BudgetLedger:
    if ledger is None:
        return BudgetLedger(terms.version, terms.prepaid, {})
    if terms.version < ledger.version:
        # Another router knows a newer configuration.
        return ledger
    return ledger._replace(version=terms.version, prepaid=terms.prepaid)

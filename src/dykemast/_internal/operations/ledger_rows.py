"""Rows of a budget: the tokens that each router may consume."""

from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.operations.allowance_terms import (
    Identity,
    Terms,
    Usage,
    TokenRequest,
)
from dykemast._internal.operations.ledger_eras import settle_ledger
from dykemast._internal.operations.spare_size import compute_spare


def plan_ledger(
    ledger: BudgetLedger | None,
    identity: Identity,
    usage: Usage,
    terms: Terms,
    request: TokenRequest,
) -> BudgetLedger:
    """Compute the next state of a budget with a new row of one router.

    :param ledger: the state to be replaced; None if there is none.
    :param identity: the router.
    :param usage: tokens used by the router.
    :param terms: bounds of the row.
    :param request: tokens that the row should allow beyond those used.
    :returns: the state to write.
    """
    ledger = _adopt_terms(ledger, terms)
    if ledger.era < terms.era.number and not terms.era.may_settle:
        return _restate_row(ledger, identity, usage, request)
    ledger = close_rows(settle_ledger(ledger, terms.era), identity)
    free = _count_free(ledger, identity, usage)
    row = _make_row(identity, usage, min(free, request.pending), request)
    planned = ledger.replace_row(identity.incarnation, row)
    if request.spare:
        limit = row.limit + compute_spare(planned, identity, terms.routers)
        row = row._replace(limit=min(limit, usage.charged + free))
    return ledger.replace_row(identity.incarnation, row)


def close_rows(ledger: BudgetLedger, identity: Identity) -> BudgetLedger:
    """Charge the rows of earlier processes on an instance in full.

    They have ended, since another process runs there, and may have consumed
    more than they wrote.

    :param ledger: the budget.
    :param identity: the running process.
    :returns: the budget without these rows.
    """
    ended = {
        name
        for name, row in ledger.rows.items()
        if row.instance == identity.instance and name != identity.incarnation
    }
    return ledger.charge_rows(ended)


def _restate_row(
    ledger: BudgetLedger,
    identity: Identity,
    usage: Usage,
    request: TokenRequest,
) -> BudgetLedger:
    """Write what the router could consume before, and no more.

    Rows of earlier processes stay: a state that another router remembers may
    have them with more tokens, or closed.
    """
    row = _make_row(identity, usage, 0, request)
    if request.spare:
        row = row._replace(limit=max(row.limit, usage.limit))
    return ledger.replace_row(identity.incarnation, row)


def _make_row(
    identity: Identity,
    usage: Usage,
    granted: int,
    request: TokenRequest,
) -> LedgerRow:
    charged = usage.charged + granted
    return LedgerRow(
        instance=identity.instance,
        limit=charged,
        spent=usage.spent,
        charged=charged,
        demand=round(request.demand, 1),
    )


def _count_free(
    ledger: BudgetLedger,
    identity: Identity,
    usage: Usage,
) -> int:
    """Count the tokens that a row may allow beyond the charged ones."""
    stored = ledger.rows.get(identity.incarnation)
    before = stored.limit if stored else 0
    return max(0, ledger.count_free() + before - usage.charged)


def _adopt_terms(ledger: BudgetLedger | None, terms: Terms) -> BudgetLedger:
    if ledger is None:
        # A router that saw no return cannot tell whether there was such a
        # budget, and nearly always there was none.
        era = terms.era.number if terms.era.is_first else 0
        return BudgetLedger(terms.version, terms.prepaid, {}, era=era)
    if terms.version < ledger.version:
        # Another router has written with a newer configuration.
        return ledger
    return ledger._replace(version=terms.version, prepaid=terms.prepaid)

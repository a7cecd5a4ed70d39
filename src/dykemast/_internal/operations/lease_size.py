"""How large a lease should be.

Nearly all of a budget is out on lease, by demand, before a cut comes: what a
router does not hold when it is cut off it must refuse. Near the end of a
budget idle leases would strand the last tokens, so there each request asks.
"""

from typing import Final

from dykemast._internal.models.budgets import LeaseIntent

#: Share of the unspent tokens kept out of leases, for newcomers and bursts.
RESERVE_SHARE: Final = 0.02
#: A holder whose share is under this many usual holds leases on demand only.
MIN_HOLDS: Final = 3
#: Part of the mean demand that a holder without demand of its own counts as.
IDLE_WEIGHT: Final = 0.05


def size_target(
    unspent: int,
    intent: LeaseIntent,
    other_rates: list[float],
) -> int:
    """Find the unspent tokens that a holder should have on lease.

    :param unspent: tokens of the budget that nobody has reported as spent.
    :param intent: demand, usual hold and horizon of the holder.
    :param other_rates: demand of the other holders, in tokens a second.
    :returns: tokens; 0 where the holder should ask for each request.
    """
    share = _find_share(intent.rate, other_rates)
    portion = max(0, unspent) * (1 - RESERVE_SHARE) * share
    if portion < MIN_HOLDS * intent.mean_hold_tokens:
        return 0
    return int(min(portion, _cover_horizon(intent)))


def _find_share(own_rate: float, other_rates: list[float]) -> float:
    rates = [own_rate, *other_rates]
    least = IDLE_WEIGHT * sum(rates) / len(rates)
    weights = [max(rate, least) for rate in rates]
    total = sum(weights)
    return weights[0] / total if total else 1 / len(rates)


def _cover_horizon(intent: LeaseIntent) -> float:
    return max(
        intent.rate * intent.horizon_s, 2 * MIN_HOLDS * intent.mean_hold_tokens
    )

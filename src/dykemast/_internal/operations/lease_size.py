"""Size of a lease.

Nearly all of a budget is leased, by demand, in advance: in a network
partition a router can only use the tokens that it has. Near the end of a
budget, tokens in idle leases would be unusable for other routers, so each
request leases its own.
"""

from typing import Final

from dykemast._internal.models.budgets import LeaseIntent

#: Share of the unspent tokens kept out of leases, for new holders and bursts.
RESERVE_SHARE: Final = 0.02
#: Holds of mean size below which a holder leases for each request only.
MIN_HOLDS: Final = 3
#: Share of the mean demand that an idle holder counts as.
IDLE_WEIGHT: Final = 0.05


def compute_lease_size(
    unspent: int,
    intent: LeaseIntent,
    other_rates: list[float],
) -> int:
    """Compute the unspent tokens that a holder should have on lease.

    :param unspent: tokens of the budget that no holder reported as spent.
    :param intent: demand, mean hold and horizon of the holder.
    :param other_rates: demand of the other holders, in tokens per second.
    :returns: tokens; 0 if the holder should lease for each request.
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

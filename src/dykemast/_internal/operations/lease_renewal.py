"""Times at which a lease is renewed or closed."""

from typing import Final

from dykemast._internal.operations.holder import (
    RENEW_INTERVAL_S,
    Holder,
    compute_margin,
)

#: Renewal interval of a lease that is short of tokens.
URGENT_INTERVAL_S: Final = 0.2
#: Renewal interval of a lease that is not in use.
IDLE_INTERVAL_S: Final = 30.0
#: Time without a request after which a lease is closed.
IDLE_CLOSE_S: Final = 120.0
#: Share of the armed margin below which a lease is renewed at once.
LOW_MARGIN: Final = 0.5


def is_due(holder: Holder, now: float) -> bool:
    """Check whether a lease has to be renewed.

    :param holder: the lease at its holder.
    :param now: seconds.
    :returns: whether a renewal is due.
    """
    usage = holder.usage
    age = now - holder.lease.renewed_at
    margin = compute_margin(usage, holder.lease.terms, now)
    low = holder.count_available(now) < margin * LOW_MARGIN
    if holder.usage.waiting or low:
        return age > URGENT_INTERVAL_S or holder.lease.ack is None
    if usage.held or now - usage.last_hold_at < RENEW_INTERVAL_S:
        return age >= RENEW_INTERVAL_S
    return age >= IDLE_INTERVAL_S


def is_idle(holder: Holder, now: float) -> bool:
    """Check whether a lease has to be closed for lack of use.

    :param holder: the lease at its holder.
    :param now: seconds.
    :returns: whether it has to be closed.
    """
    if holder.usage.held or holder.usage.waiting:
        return False
    return now - holder.usage.last_hold_at > IDLE_CLOSE_S

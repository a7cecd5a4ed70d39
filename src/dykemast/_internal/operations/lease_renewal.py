"""When a lease is renewed, and when it is given back."""

from typing import Final

from dykemast._internal.operations.holder import (
    RENEW_INTERVAL,
    Holder,
    find_margin,
)

#: Seconds after which a lease that runs short is renewed.
URGENT_INTERVAL: Final = 0.2
#: Seconds after which a lease that is not in use is renewed.
IDLE_INTERVAL: Final = 30.0
#: Seconds without a request after which a lease is given back.
IDLE_CLOSE: Final = 120.0
#: Share of the armed margin below which a lease is renewed at once.
LOW_MARGIN: Final = 0.5


def is_due(holder: Holder, now: float) -> bool:
    """Tell whether a lease is to be renewed now.

    :param holder: the lease at its holder.
    :param now: seconds.
    :returns: whether it is.
    """
    usage = holder.usage
    age = now - holder.lease.renewed_at
    margin = find_margin(usage, holder.lease.terms, now)
    low = holder.count_available(now) < margin * LOW_MARGIN
    if holder.usage.waiting or low:
        return age > URGENT_INTERVAL or holder.lease.ack is None
    if usage.held or now - usage.touched < RENEW_INTERVAL:
        return age >= RENEW_INTERVAL
    return age >= IDLE_INTERVAL


def is_idle(holder: Holder, now: float) -> bool:
    """Tell whether a lease is to be given back.

    :param holder: the lease at its holder.
    :param now: seconds.
    :returns: whether it is.
    """
    if holder.usage.held or holder.usage.waiting:
        return False
    return now - holder.usage.touched > IDLE_CLOSE

"""When the lease of a lost holder may be taken back, and at what charge.

Silence never suffices. A holder is shown to be dead by the platform's list
(its instance was there and is gone for longer than the list's lag), or by a
newer incarnation on the same instance: that one could bind the instance's
address only after the old process had ended. A frozen process keeps both.

The charge is the whole allotment unless the death falls within the arming
delay of the holder's last write; then only the armed part is in doubt. The
last intent was made after the shard version that it names came into being,
which bounds its age on the keeper's own clock without comparing clocks.
"""

from collections import deque
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import (
    Budget,
    LeaseRow,
    ReclaimIntent,
)
from dykemast._internal.models.fleet import PeerCard

#: Reads of a shard that a keeper remembers.
REMEMBERED_READS: Final = 256


class ShardRead(NamedTuple):
    """One read of a shard object.

    :param version: what was read.
    :param started: seconds on the keeper's clock before the read was sent.
    """

    version: int
    started: float


class ReadLog:
    """Reads of one shard, to bound the age of what it holds."""

    def __init__(self) -> None:
        """Start with no reads."""
        self._reads: deque[ShardRead] = deque(maxlen=REMEMBERED_READS)

    def record_read(self, version: int, started: float) -> None:
        """Remember a read; of equal versions the newest.

        :param version: what was read.
        :param started: seconds before the read was sent.
        """
        if self._reads and self._reads[-1].version == version:
            self._reads.pop()
        self._reads.append(ShardRead(version, started))

    def find_oldest(self, seen: int) -> float | None:
        """Find a time before which a shard version did not exist.

        :param seen: the version.
        :returns: seconds, or nothing when it is older than the log.
        """
        older = [read.started for read in self._reads if read.version < seen]
        return max(older, default=None)


class KnownProcesses(NamedTuple):
    """What is known about processes.

    :param gone: ids of instances shown to be gone.
    :param incarnations: newest incarnation by instance id.
    :param known_at: seconds at which this was known at the latest.
    """

    gone: frozenset[str]
    incarnations: dict[str, str]
    known_at: float


def list_unheard_instances(
    budgets: dict[str, Budget],
    cards: list[PeerCard],
) -> set[str]:
    """List the instances whose incarnation has to be looked up.

    :param budgets: a shard's budgets by name.
    :param cards: routers that were heard of lately; what they hold is theirs.
    :returns: instance ids of all other holders.
    """
    heard = {card.incarnation for card in cards}
    return {
        row.instance
        for budget in budgets.values()
        for row in budget.rows.values()
        if row.holder.partition('/')[0] not in heard
    }


def is_dead(row: LeaseRow, census: KnownProcesses) -> bool:
    """Tell whether the holder of a lease is shown to be dead.

    :param row: its lease.
    :param census: what is known.
    :returns: whether it is.
    """
    if row.instance in census.gone:
        return True
    current = census.incarnations.get(row.instance)
    return current is not None and not row.holder.startswith(f'{current}/')


def plan_reclaims(
    budgets: dict[str, Budget],
    census: KnownProcesses,
    reads: ReadLog,
    arming_delay_s: float,
) -> list[ReclaimIntent]:
    """Find the leases of a shard that may be taken back.

    :param budgets: the shard's budgets by name.
    :param census: what is known about processes.
    :param reads: reads of this shard.
    :param arming_delay_s: seconds, as the holders have it.
    :returns: an intent for each.
    """
    limit = census.known_at - arming_delay_s
    return [
        ReclaimIntent(name, row.holder, row.seq, _needs_full(row, reads, limit))
        for name, budget in budgets.items()
        for row in budget.rows.values()
        if is_dead(row, census)
    ]


def _needs_full(row: LeaseRow, reads: ReadLog, limit: float) -> bool:
    oldest = reads.find_oldest(row.seen)
    return oldest is None or oldest <= limit

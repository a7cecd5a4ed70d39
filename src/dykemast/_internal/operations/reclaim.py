"""Reclaim of leases whose holder is confirmed dead.

A missing response never suffices. A holder is confirmed dead by the
platform's list (its instance was listed and has been missing for longer than
the list's lag), or by a newer incarnation on the same instance, which could
bind the instance's address only after the old process had ended. A suspended
process keeps its entry and its address.

The charge is the whole allotment unless the holder died within the arming
delay after its last write; then only the armed part was possibly consumed.
The last intent was made after the shard version that it names was written.
This bounds its age on the owner's clock without comparing clocks.
"""

from collections import deque
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import (
    Budget,
    LeaseRow,
    ReclaimIntent,
)
from dykemast._internal.models.fleet import PeerCard

#: Reads that the owner of a shard keeps.
MAX_LOGGED_READS: Final = 256


class ShardRead(NamedTuple):
    """One read of a shard object.

    :param version: version that was read.
    :param started: seconds on the owner's clock before the read was sent.
    """

    version: int
    started: float


class ReadLog:
    """Reads of one shard, to bound the age of its content."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._reads: deque[ShardRead] = deque(maxlen=MAX_LOGGED_READS)

    def record_read(self, version: int, started: float) -> None:
        """Record a read; it replaces one of the same version.

        :param version: version that was read.
        :param started: seconds before the read was sent.
        """
        if self._reads and self._reads[-1].version == version:
            self._reads.pop()
        self._reads.append(ShardRead(version, started))

    def find_oldest(self, seen: int) -> float | None:
        """Find the latest time at which a shard version did not exist yet.

        :param seen: the version.
        :returns: seconds; None if the version is older than the log.
        """
        older = [read.started for read in self._reads if read.version < seen]
        return max(older, default=None)


class KnownProcesses(NamedTuple):
    """Known instances and incarnations.

    :param gone: ids of instances confirmed to be gone.
    :param incarnations: newest incarnation by instance id.
    :param known_at: time of this state, in seconds.
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
    :param cards: cards of the live peers, whose leases are not reclaimed.
    :returns: instance ids of all other holders.
    """
    heard = {card.incarnation for card in cards}
    return {
        row.instance
        for budget in budgets.values()
        for row in budget.rows.values()
        if row.holder.partition('/')[0] not in heard
    }


def is_dead(row: LeaseRow, known_processes: KnownProcesses) -> bool:
    """Check whether the holder of a lease is confirmed dead.

    :param row: the lease.
    :param known_processes: known instances and incarnations.
    :returns: whether it is.
    """
    if row.instance in known_processes.gone:
        return True
    current = known_processes.incarnations.get(row.instance)
    return current is not None and not row.holder.startswith(f'{current}/')


def plan_reclaims(
    budgets: dict[str, Budget],
    known_processes: KnownProcesses,
    reads: ReadLog,
    arming_delay_s: float,
) -> list[ReclaimIntent]:
    """Create intents to reclaim the leases of dead holders in a shard.

    :param budgets: the shard's budgets by name.
    :param known_processes: known instances and incarnations.
    :param reads: reads of this shard.
    :param arming_delay_s: arming delay of the holders, in seconds.
    :returns: an intent for each lease.
    """
    limit = known_processes.known_at - arming_delay_s
    return [
        ReclaimIntent(name, row.holder, row.seq, _needs_full(row, reads, limit))
        for name, budget in budgets.items()
        for row in budget.rows.values()
        if is_dead(row, known_processes)
    ]


def _needs_full(row: LeaseRow, reads: ReadLog, limit: float) -> bool:
    oldest = reads.find_oldest(row.seen)
    return oldest is None or oldest <= limit

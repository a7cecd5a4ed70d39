"""How far backend servers are trusted, from what came of requests."""

import math
from collections.abc import Collection
from typing import Final, NamedTuple

#: Weight of a new outcome against those before.
OUTCOME_WEIGHT: Final = 0.3
#: Seconds in which distrust falls to about a third without new outcomes.
FORGET_TIME: Final = 6.0


class _Record(NamedTuple):
    failed: float
    at: float


class ServerHealth:
    """Recent share of failures of each backend server."""

    def __init__(self) -> None:
        """Trust all."""
        self._records: dict[str, _Record] = {}

    def record_outcome(self, server: str, now: float, *, failed: bool) -> None:
        """Take note of an outcome.

        :param server: id of the server.
        :param now: seconds.
        :param failed: whether it failed.
        """
        before = 1 - self.get_score(server, now)
        share = before + OUTCOME_WEIGHT * (float(failed) - before)
        self._records[server] = _Record(share, now)

    def get_score(self, server: str, now: float) -> float:
        """Measure the trust in a server.

        :param server: its id.
        :param now: seconds.
        :returns: 1 for all, near 0 for one that fails always.
        """
        record = self._records.get(server)
        if record is None:
            return 1
        kept = math.exp((record.at - now) / FORGET_TIME)
        return 1 - record.failed * kept

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget servers that are gone.

        :param servers: ids of those that are there.
        """
        for gone in set(self._records) - set(servers):
            self._records.pop(gone)

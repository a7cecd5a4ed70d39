"""Health scores of backend servers, from the outcomes of requests."""

import math
from collections.abc import Collection
from typing import Final, NamedTuple

#: Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT: Final = 0.3
#: Time in which the failure share decays to about a third without outcomes.
DECAY_TIME_S: Final = 6.0


class _FailureShare(NamedTuple):
    failed: float
    at: float


class ServerHealth:
    """Moving average of failures by backend server."""

    def __init__(self) -> None:
        """Start with all servers healthy."""
        self._records: dict[str, _FailureShare] = {}

    def record_outcome(self, server: str, now: float, *, failed: bool) -> None:
        """Record the outcome of one request.

        :param server: id of the server.
        :param now: seconds on the monotonic clock.
        :param failed: whether the request failed.
        """
        before = 1 - self.get_score(server, now)
        share = before + OUTCOME_WEIGHT * (float(failed) - before)
        self._records[server] = _FailureShare(share, now)

    def get_score(self, server: str, now: float) -> float:
        """Get the health score of a server.

        :param server: its id.
        :param now: seconds on the monotonic clock.
        :returns: from 0, for a server that always fails, to 1.
        """
        record = self._records.get(server)
        if record is None:
            return 1
        remaining = math.exp((record.at - now) / DECAY_TIME_S)
        return 1 - record.failed * remaining

    def keep_only(self, servers: Collection[str]) -> None:
        """Drop servers that are not listed any more.

        :param servers: ids of the listed servers.
        """
        for gone in set(self._records) - set(servers):
            self._records.pop(gone)

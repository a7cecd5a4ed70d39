"""Breaker per backend server, and a budget for retries."""

from typing import Final

#: Failures in a row after which a server is left alone for a while.
MAX_FAILURES: Final = 3
#: Seconds for which it is left alone.
OPEN_TIME: Final = 2.0
#: Retries that may be made for each request that comes in.
RETRY_SHARE: Final = 0.1
#: Retries that may be saved up.
MAX_SAVED: Final = 20.0


class CircuitBreakers:
    """Failures of backend servers as this router saw them."""

    def __init__(self) -> None:
        """Start with no failure."""
        self._failures: dict[str, int] = {}
        self._open_until: dict[str, float] = {}
        self._saved = MAX_SAVED

    def record_success(self, name: str) -> None:
        """Forget a server's failures.

        :param name: its instance id.
        """
        self._failures.pop(name, None)
        self._open_until.pop(name, None)

    def record_failure(self, name: str, now: float) -> None:
        """Count a failure.

        :param name: instance id of the server.
        :param now: seconds.
        """
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count >= MAX_FAILURES:
            self._open_until[name] = now + OPEN_TIME

    def is_open(self, name: str, now: float) -> bool:
        """Tell whether a server is to be left alone.

        :param name: its instance id.
        :param now: seconds.
        :returns: whether it is.
        """
        return now < self._open_until.get(name, 0)

    def record_request(self) -> None:
        """Earn a part of a retry."""
        self._saved = min(MAX_SAVED, self._saved + RETRY_SHARE)

    def consume_retry(self) -> bool:
        """Use up a retry.

        :returns: whether there was one.
        """
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

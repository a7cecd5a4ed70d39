"""Circuit breaker per backend server, and a retry budget."""

from typing import Final

#: Consecutive failures that open the circuit of a server.
FAILURES_TO_OPEN: Final = 3
#: Time for which a circuit stays open.
OPEN_TIME_S: Final = 2.0
#: Retries that each incoming request adds to the budget.
RETRIES_PER_REQUEST: Final = 0.1
MAX_SAVED_RETRIES: Final = 20.0


class CircuitBreakers:
    """Consecutive failures of backend servers, as seen by this router."""

    def __init__(self) -> None:
        """Start with closed circuits and a full retry budget."""
        self._failures: dict[str, int] = {}
        self._open_until: dict[str, float] = {}
        self._saved_retries = MAX_SAVED_RETRIES

    def record_success(self, name: str) -> None:
        """Close the circuit of a server.

        :param name: its instance id.
        """
        self._failures.pop(name, None)
        self._open_until.pop(name, None)

    def record_failure(self, name: str, now: float) -> None:
        """Count a failure; too many in a row open the circuit.

        :param name: instance id of the server.
        :param now: seconds on the monotonic clock.
        """
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count >= FAILURES_TO_OPEN:
            self._open_until[name] = now + OPEN_TIME_S

    def is_open(self, name: str, now: float) -> bool:
        """Check whether the circuit of a server is open.

        :param name: its instance id.
        :param now: seconds on the monotonic clock.
        :returns: whether it is.
        """
        return now < self._open_until.get(name, 0)

    def record_request(self) -> None:
        """Add the share of one request to the retry budget."""
        self._saved_retries = min(
            MAX_SAVED_RETRIES, self._saved_retries + RETRIES_PER_REQUEST
        )

    def consume_retry(self) -> bool:
        """Consume one retry of the budget.

        :returns: whether there was one.
        """
        if self._saved_retries < 1:
            return False
        self._saved_retries -= 1
        return True

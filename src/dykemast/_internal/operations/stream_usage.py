"""Tokens that a streamed response has consumed and may consume."""


class StreamUsage:
    """Token usage of one request over all backend servers it was sent to.

    :param prompt: tokens of the prompt, which are charged once.
    :param output: upper bound of the output tokens.
    :param per_event: tokens per event.
    """

    def __init__(self, prompt: int, output: int, per_event: int) -> None:
        """Create the usage of a request that has not run."""
        self._prompt = prompt
        self._output = output
        self._per_event = per_event
        self._has_run = False
        self._read = 0
        #: Tokens that backend servers may have generated beyond those
        #: received, in truncated or abandoned responses. A server may go on
        #: behind a broken connection, so each response is charged in full:
        #: less could overspend the budget.
        self._unread_tokens = 0

    def record_start(self) -> None:
        """Record that a backend server runs it or may have run it."""
        self._has_run = True

    def record_read(self, events: int) -> None:
        """Record how much of the response was received.

        :param events: total number of events received.
        """
        self._read = min(events * self._per_event, self._output)

    def record_broken_stream(self) -> None:
        """Record that a response was truncated or abandoned."""
        self.record_start()
        self._unread_tokens += self._output - self._read

    def count_max_tokens(self) -> int:
        """Count the tokens that the request may have used after one more send.

        :returns: tokens.
        """
        return self._prompt + self._output + self._unread_tokens

    def count_used_tokens(self) -> int:
        """Count the tokens that the request may have used so far.

        :returns: tokens.
        """
        if not self._has_run:
            return 0
        return self._prompt + self._read + self._unread_tokens

"""How many tokens a streamed answer has consumed, and may consume."""


class StreamUsage:
    """Tokens of one request, whichever engines it was sent to.

    :param prompt: tokens of the prompt, which count once.
    :param output: most tokens to come out.
    :param per_event: tokens of one event.
    """

    def __init__(self, prompt: int, output: int, per_event: int) -> None:
        """Have consumed nothing."""
        self._prompt = prompt
        self._output = output
        self._per_event = per_event
        self._has_run = False
        self._read = 0
        #: Tokens that engines may have made beyond those that were read, in
        #: answers that broke off or were left. Behind a silent link an engine
        #: goes on unseen, so each is charged to its end: less would let a
        #: budget be overspent.
        self._unread = 0

    def record_start(self) -> None:
        """Note that an engine runs it, or may have run it."""
        self._has_run = True

    def record_read(self, events: int) -> None:
        """Note how much of the answer was read.

        :param events: in all.
        """
        self._read = min(events * self._per_event, self._output)

    def record_broken_stream(self) -> None:
        """Note that an engine's answer broke off or was left."""
        self.record_start()
        self._unread += self._output - self._read

    def count_max_tokens(self) -> int:
        """Count what the request may have consumed after one more send.

        :returns: tokens.
        """
        return self._prompt + self._output + self._unread

    def count_used_tokens(self) -> int:
        """Count what the request may have consumed so far.

        :returns: tokens.
        """
        if not self._has_run:
            return 0
        return self._prompt + self._read + self._unread

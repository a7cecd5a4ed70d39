"""Run requests with the same order key one after the other."""

import asyncio


class Turns:
    """Queues by order key; empty queues are removed."""

    def __init__(self) -> None:
        """Make queues on the first use of their order key."""
        self._last: dict[str, asyncio.Future[None]] = {}

    async def take(self, order: str) -> asyncio.Future[None]:
        """Wait until all earlier requests of an order key are done.

        :param order: the key.
        :returns: the place in the queue, to be passed to :meth:`end`.
        """
        turn: asyncio.Future[None] = asyncio.Future()
        before = self._last.get(order)
        self._last[order] = turn
        if before is None:
            return turn
        try:
            await asyncio.shield(before)
        except asyncio.CancelledError:
            # A request that waits for this one must still wait for the one
            # before it.
            before.add_done_callback(lambda _: self.end(order, turn))
            raise
        return turn

    def end(self, order: str, turn: asyncio.Future[None]) -> None:
        """Let the next request of an order key run.

        :param order: the key.
        :param turn: the result of :meth:`take`.
        """
        if not turn.done():
            turn.set_result(None)
        if self._last.get(order) is turn:
            self._last.pop(order)

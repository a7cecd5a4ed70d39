"""Structured log lines on standard output, bounded and never blocking."""

import asyncio
import collections
import os
import sys
from collections.abc import Callable
from typing import Any, Final

import logbook
import msgspec

from dykemast._internal.utils.clock import (
    read_clock,
    read_time_of_day,
)

#: Bound on the queue of unwritten lines: some hundred kilobytes.
MAX_QUEUED_LINES: Final = 1000
#: Sustained rate beyond which lines are dropped, far above that of a busy
#: instance.
MAX_LINES_PER_S: Final = 400.0
_FLUSH_INTERVAL_S: Final = 0.05
_LINE_END: Final = b'\n'

LogEvent = Callable[..., None]


class LineHandler(logbook.Handler):
    """Queues lines until they can be written, and counts dropped ones."""

    def __init__(self, descriptor: int, fields: dict[str, Any]) -> None:
        """Make a handler that writes to a descriptor, made non-blocking.

        :param descriptor: file descriptor to write to.
        :param fields: fields that each line carries.
        """
        super().__init__(level='INFO')
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._fields = fields
        self._lines: collections.deque[bytes] = collections.deque()
        self._allowance = MAX_LINES_PER_S
        self._allowed_at = read_clock()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or drop it when there are too many.

        :param record: the record.
        """
        if not self._admit():
            self.dropped += 1
            return
        line = {
            'at': round(read_time_of_day(), 3),
            'level': record.level_name,
            'part': record.channel,
            'event': record.message,
            **self._fields,
            **record.extra,
        }
        # The event's own fields must not hide which process wrote the line.
        line.update(self._fields)
        self._lines.append(_encode_line(line))

    async def write_lines(self) -> None:
        """Write queued lines, for ever."""
        while True:
            self.flush()
            await asyncio.sleep(_FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as many lines as the descriptor takes now."""
        if self.dropped and self._lines:
            self._lines.append(self._encode_dropped())
        pending = b''.join(self._lines)
        self._lines.clear()
        rest = self._write(pending)
        if rest:
            self._lines.append(rest)

    def _write(self, pending: bytes) -> bytes:
        try:
            return pending[os.write(self._descriptor, pending) :]
        except BlockingIOError:
            return pending
        except OSError:
            # The reader is gone, so the loss cannot be reported.
            self.dropped += 1
            return b''

    def _encode_dropped(self) -> bytes:
        line = {'part': 'log', 'event': 'lines_dropped', 'count': self.dropped}
        self.dropped = 0
        return _encode_line(line)

    def _admit(self) -> bool:
        now = read_clock()
        earned = (now - self._allowed_at) * MAX_LINES_PER_S
        self._allowance = min(MAX_LINES_PER_S, self._allowance + earned)
        self._allowed_at = now
        if self._allowance < 1 or len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._allowance -= 1
        return True


def _encode_line(line: dict[str, Any]) -> bytes:
    return msgspec.json.encode(line, enc_hook=str) + _LINE_END


def make_logger(part: str) -> LogEvent:
    """Make the function with which a part of the program logs.

    :param part: name of the part; stands in each of its lines.
    :returns: function that takes the event and its fields.
    """
    logger = logbook.Logger(part)

    def log_event(event: str, **fields: Any) -> None:
        logger.info(event, extra=fields)

    return log_event


def open_log(fields: dict[str, Any]) -> LineHandler:
    """Log to standard output.

    :param fields: fields that each line carries.
    :returns: the handler, not yet bound.
    """
    return LineHandler(sys.stdout.fileno(), fields)

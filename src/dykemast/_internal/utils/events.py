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

#: Lines that wait to be written at most; some hundred kilobytes.
MAX_WAITING: Final = 1000
#: Lines a second that are kept beyond short bursts: about ten times those of
#: a busy instance.
MAX_RATE: Final = 400.0
#: Seconds between two writes.
_FLUSH_PAUSE: Final = 0.05
_LINE_END: Final = b'\n'

LogEvent = Callable[..., None]


class LineHandler(logbook.Handler):
    """Keeps lines until they can be written; counts those it drops."""

    def __init__(self, descriptor: int, fields: dict[str, Any]) -> None:
        """Write to a descriptor, which is made non-blocking.

        :param descriptor: file descriptor to write to.
        :param fields: fields that each line carries.
        """
        super().__init__(level='INFO')
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._fields = fields
        self._lines: collections.deque[bytes] = collections.deque()
        self._allowance = MAX_RATE
        self._allowed_at = read_clock()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Keep a line, or drop it when there are too many.

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
        # Whose line it is must not depend on what the line is about.
        line.update(self._fields)
        self._lines.append(_encode_line(line))

    async def write_lines(self) -> None:
        """Write lines as they come, for ever."""
        while True:
            self.flush()
            await asyncio.sleep(_FLUSH_PAUSE)

    def flush(self) -> None:
        """Write as many lines as the descriptor takes now."""
        if self.dropped and self._lines:
            self._lines.append(self._tell_dropped())
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
            # Nobody reads any more; there is nowhere to tell it.
            self.dropped += 1
            return b''

    def _tell_dropped(self) -> bytes:
        line = {'part': 'log', 'event': 'lines_dropped', 'count': self.dropped}
        self.dropped = 0
        return _encode_line(line)

    def _admit(self) -> bool:
        now = read_clock()
        earned = (now - self._allowed_at) * MAX_RATE
        self._allowance = min(MAX_RATE, self._allowance + earned)
        self._allowed_at = now
        if self._allowance < 1 or len(self._lines) >= MAX_WAITING:
            return False
        self._allowance -= 1
        return True


def _encode_line(line: dict[str, Any]) -> bytes:
    return msgspec.json.encode(line, enc_hook=str) + _LINE_END


def make_logger(part: str) -> LogEvent:
    """Make the function with which a part of the program logs.

    :param part: name of the part; stands in each of its lines.
    :returns: takes the event and fields that explain it.
    """
    logger = logbook.Logger(part)

    def log_event(event: str, **fields: Any) -> None:
        logger.info(event, extra=fields)

    return log_event


def open_log(fields: dict[str, Any]) -> LineHandler:
    """Log to standard output.

    :param fields: fields that each line carries.
    :returns: the handler, to be bound.
    """
    return LineHandler(sys.stdout.fileno(), fields)

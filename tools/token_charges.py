"""What the deaths of processes cost budgets, by their own log lines."""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Any, NamedTuple

Line = dict[str, Any]

#: Events with which a request ends.
_ENDS = frozenset(('refused', 'served', 'caller_left', 'cut_by_stop'))

#: Events that tell how far a request came.
_STEPS = frozenset(('send', 'first_event'))


class Charge(NamedTuple):
    """What the death of one process costs one budget, in tokens.

    :param limit: all that its last row allowed.
    :param known: consumed by the time of that row.
    :param later: consumed by requests that ended after it.
    :param begun: held by requests that never ended though their callers had
        received a first event, at their most.
    :param unanswered: held by requests that were sent and never ended, whose
        callers had received nothing.
    :param unsent: asked for by requests that were sent to no engine.
    :param rows: writes of the row.
    """

    limit: int = 0
    known: int = 0
    later: int = 0
    begun: int = 0
    unanswered: int = 0
    unsent: int = 0
    rows: int = 0

    def count_held(self) -> int:
        """Count what requests in progress may have consumed."""
        return self.begun + self.unanswered

    def count_spare(self) -> int:
        """Count what nobody consumed, and nobody sent held."""
        used = self.known + self.later + self.count_held()
        return max(0, self.limit - used)

    def add(self, other: 'Charge') -> 'Charge':
        """Add another charge."""
        pairs = zip(self, other, strict=True)
        return Charge(*(one + more for one, more in pairs))


class Process:
    """What the lines of one process tell."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._charges: dict[str, Charge] = defaultdict(Charge)
        self._spent: dict[str, int] = defaultdict(int)
        self._open: dict[str, Line] = {}
        self._reached: dict[str, str] = {}
        self.has_stopped = False

    def take(self, line: Line) -> None:
        """Take one line."""
        event = line['event']
        if event == 'budget_written':
            self._take_row(line)
        elif event == 'settled':
            self._spent[line['workspace']] += line['consumed']
        elif event == 'stopped':
            self.has_stopped = True
        else:
            self._take_step(line)

    def list_charges(self) -> Iterator[tuple[str, Charge]]:
        """List what its end costs each budget, by workspace."""
        for workspace, charge in self._charges.items():
            later = self._spent[workspace] - charge.known
            yield (
                workspace,
                charge._replace(
                    later=max(0, later),
                    begun=self._sum_open(workspace, 'first_event'),
                    unanswered=self._sum_open(workspace, 'send'),
                    unsent=self._sum_open(workspace, None),
                ),
            )

    def _sum_open(self, workspace: str, reached: str | None) -> int:
        return sum(
            line['tokens']
            for request, line in self._open.items()
            if line.get('workspace') == workspace
            and self._reached.get(request) == reached
        )

    def _take_step(self, line: Line) -> None:
        event, request = line['event'], line.get('request', '')
        if event == 'admitted':
            self._open[request] = line
        elif event in _STEPS:
            self._reached[request] = event
        elif event in _ENDS:
            self._open.pop(request, None)

    def _take_row(self, line: Line) -> None:
        workspace = line['workspace']
        charged = line['spent'] + line['held'] + line['lent']
        limit = line['room'] + charged - line['borrowed']
        rows = 1 + self._charges[workspace].rows
        known = line['spent']
        self._charges[workspace] = Charge(limit, known, rows=rows)


def decode_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Decode log lines; whatever is none is passed over."""
    for text in texts:
        start = text.find('{"at"')
        # The last line of a process that is killed may be cut off.
        with suppress(json.JSONDecodeError):
            if start >= 0:
                yield json.loads(text[start:])


def read_dead(lines: Iterable[Line]) -> list[Process]:
    """Find the processes that died.

    :param lines: of any number of instances, those of each in order.
    :returns: processes that were followed by another on their instance, and
        did not stop as planned.
    """
    by_instance: dict[str, dict[str, Process]] = defaultdict(dict)
    for line in lines:
        starts = by_instance[line['instance']]
        starts.setdefault(line['incarnation'], Process()).take(line)
    ended = []
    for starts in by_instance.values():
        ended.extend(list(starts.values())[:-1])
    return [process for process in ended if not process.has_stopped]


def sum_charges(processes: Iterable[Process]) -> dict[str, Charge]:
    """Add up what the ends of processes cost, by workspace."""
    totals: dict[str, Charge] = defaultdict(Charge)
    for process in processes:
        for workspace, charge in process.list_charges():
            totals[workspace] = totals[workspace].add(charge)
    return dict(totals)

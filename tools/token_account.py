"""Tell from log lines where the tokens of ended processes went.

``python -m tools.token_account LOG...``. A process that dies is charged with
all that its last row allowed. By its own lines that is split into what it was
known to have consumed, what it consumed after it wrote the row, what requests
in progress held, and what was spare and nobody's.
"""

import json
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

Line = dict[str, Any]

#: Events with which a request ends.
_ENDS = frozenset(('refused', 'served', 'caller_left', 'cut_by_stop'))


class Charge(NamedTuple):
    """What the death of one process costs one budget, in tokens.

    :param limit: all that its last row allowed.
    :param known: consumed by the time of that row.
    :param later: consumed by requests that ended after it.
    :param open_holds: held by requests that never ended, at their most.
    :param rows: writes of the row.
    """

    limit: int = 0
    known: int = 0
    later: int = 0
    open_holds: int = 0
    rows: int = 0

    def count_spare(self) -> int:
        """Count what nobody consumed or held."""
        used = self.known + self.later + self.open_holds
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
        self.has_stopped = False

    def take(self, line: Line) -> None:
        """Take one line."""
        event = line['event']
        if event == 'budget_written':
            self._take_row(line)
        elif event == 'admitted':
            self._open[line['request']] = line
        elif event == 'settled':
            self._spent[line['workspace']] += line['consumed']
        elif event in _ENDS:
            self._open.pop(line['request'], None)
        self.has_stopped = self.has_stopped or event == 'stopped'

    def list_charges(self) -> Iterator[Charge]:
        """List what its end costs each budget."""
        for workspace, charge in self._charges.items():
            later = self._spent[workspace] - charge.known
            held = sum(
                line['tokens']
                for line in self._open.values()
                if line.get('workspace') == workspace
            )
            yield charge._replace(later=max(0, later), open_holds=held)

    def _take_row(self, line: Line) -> None:
        workspace = line['workspace']
        charged = line['spent'] + line['held'] + line['lent']
        limit = line['room'] + charged - line['borrowed']
        rows = 1 + self._charges[workspace].rows
        known = line['spent']
        self._charges[workspace] = Charge(limit, known, rows=rows)


def _decode_lines(texts: Iterable[str]) -> Iterator[Line]:
    for text in texts:
        start = text.find('{"at"')
        # The last line of a process that is killed may be cut off.
        with suppress(json.JSONDecodeError):
            if start >= 0:
                yield json.loads(text[start:])


def read_dead(lines: Iterable[str]) -> list[Process]:
    """Read log lines; whatever is none is passed over.

    :param lines: of any number of instances, those of each in order.
    :returns: processes that were followed by another on their instance, and
        did not stop as planned.
    """
    by_instance: dict[str, dict[str, Process]] = defaultdict(dict)
    for line in _decode_lines(lines):
        starts = by_instance[line['instance']]
        starts.setdefault(line['incarnation'], Process()).take(line)
    ended = []
    for starts in by_instance.values():
        ended.extend(list(starts.values())[:-1])
    return [process for process in ended if not process.has_stopped]


def sum_charges(processes: Iterable[Process]) -> Charge:
    """Add up what the ends of processes cost."""
    total = Charge()
    for process in processes:
        for charge in process.list_charges():
            total = total.add(charge)
    return total


def main() -> None:
    """Run the program."""
    paths = map(Path, sys.argv[1:])
    lines = '\n'.join(path.read_text() for path in paths)
    total = sum_charges(read_dead(lines.splitlines()))
    sys.stdout.write(
        f'charged {total.limit}: known consumed {total.known}, '
        f'consumed after the last row {total.later}, '
        f'held by what never ended {total.open_holds}, '
        f'spare {total.count_spare()}; {total.rows} rows written\n'
    )


if __name__ == '__main__':
    main()

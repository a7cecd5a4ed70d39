"""Tell from log lines where the tokens of each workspace went.

``python -m tools.token_account LOG...``. A process that dies is charged with
all that its last row allowed. By its own lines that is split into what callers
received, what requests in progress held, and what was spare and nobody's.
"""

import sys
from collections import Counter
from operator import itemgetter
from pathlib import Path
from typing import NamedTuple

from tools.token_charges import (
    Charge,
    Line,
    decode_lines,
    read_dead,
    sum_charges,
)


class Budget(NamedTuple):
    """What all lines tell of one workspace's budget, in tokens.

    :param paid: as the newest row says.
    :param received: consumed by requests that ended.
    :param free: in no row at the end.
    :param charge: what the deaths of routers cost it.
    :param unarrived: lent by a router, and not received by the borrower.
    """

    paid: int = 0
    received: int = 0
    free: int = 0
    charge: Charge = Charge()
    unarrived: int = 0

    def count_left(self) -> int:
        """Count what callers can not have received."""
        return self.paid - self.received - self.charge.count_held()


def read_budgets(lines: list[Line]) -> dict[str, Budget]:
    """Read what became of each workspace's budget.

    :param lines: as for :func:`read_dead`.
    :returns: budgets by workspace.
    """
    charges = sum_charges(read_dead(lines))
    received = _sum_field(lines, 'settled', 'consumed')
    unarrived = _sum_field(lines, 'tokens_lent', 'tokens')
    unarrived.subtract(_sum_field(lines, 'tokens_borrowed', 'tokens'))
    return {
        name: Budget(
            paid=row['prepaid'],
            received=received[name],
            free=row['free'],
            charge=charges.get(name, Charge()),
            unarrived=unarrived[name],
        )
        for name, row in _find_newest(lines).items()
    }


def _sum_field(lines: list[Line], event: str, field: str) -> Counter[str]:
    """Sum a field of the lines of one event, by workspace."""
    total: Counter[str] = Counter()
    for line in lines:
        if line['event'] == event:
            total[line['workspace']] += line[field]
    return total


def _find_newest(lines: list[Line]) -> dict[str, Line]:
    """Find the newest line of each budget's object."""
    rows = (line for line in lines if line['event'] == 'budget_written')
    known = [row for row in rows if 'prepaid' in row]
    known.sort(key=itemgetter('revision'))
    return {row['workspace']: row for row in known}


_HEAD = (
    'workspace paid received begun unanswered spare free unarrived left rows'
).split()


def format_budget(workspace: str, budget: Budget) -> str:
    """Format one line of the table."""
    charge = budget.charge
    return _format_cells(
        workspace[:10],
        budget.paid,
        budget.received,
        charge.begun,
        charge.unanswered,
        charge.count_spare(),
        budget.free,
        budget.unarrived,
        budget.count_left(),
        charge.rows,
    )


def _format_cells(*cells: str | int) -> str:
    padded = [f'{cell:>11}' for cell in cells]
    return ''.join((*padded, '\n'))


def main() -> None:
    """Run the program."""
    paths = map(Path, sys.argv[1:])
    texts = '\n'.join(path.read_text() for path in paths)
    budgets = read_budgets(list(decode_lines(texts.splitlines())))
    sys.stdout.write(_format_cells(*_HEAD))
    for workspace, budget in sorted(budgets.items()):
        sys.stdout.write(format_budget(workspace, budget))


if __name__ == '__main__':
    main()

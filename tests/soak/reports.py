"""What is told of a seed, and kept of one that broke a promise."""

import shutil
from collections import Counter
from pathlib import Path
from typing import Any

from tests.soak.faults import Fault
from tests.soak.seen import WHOLE, Seen, Witness
from tests.soak.world import World

LOGS = Path('dist') / 'soak'


def summarize(plan: list[Fault], witness: Witness) -> str:
    """Count faults by kind, and requests by how they ended."""
    faults = Counter(fault.kind for fault in plan)
    ends = Counter(map(_tell_end, witness.seen))
    requests = len(witness.seen)
    words = [
        _list_counts(faults),
        f'{requests} requests: {_list_counts(ends)}',
        *_list_served(witness.seen),
    ]
    return '; '.join(words)


def _list_served(seen: list[Seen]) -> list[str]:
    """Count the streams that were served, if several workspaces have paid."""
    streams = [one for one in seen if one.events]
    asked = Counter(one.workspace for one in streams)
    served = Counter(one.workspace for one in streams if one.status == 200)
    if len(asked) < 2:
        return []
    counts = (f'{name} {served[name]} of {asked[name]}' for name in asked)
    return ['streams served', *counts]


def _tell_end(one: Seen) -> str:
    return str(one.status) if one.end == WHOLE else one.end


def _list_counts(counts: Counter[str]) -> str:
    return ', '.join(f'{name} {counts[name]}' for name in sorted(counts))


def keep_logs(
    world: World, seed: int, broken: list[str], plan: list[Fault]
) -> None:
    """Keep logs, the plan and what was done."""
    folder = LOGS / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for log in world.deployment.processes.folder.glob('*.log'):
        shutil.copy(log, folder)
    lines: list[Any] = [*broken, *plan, *world.history.list_events()]
    (folder / 'broken.txt').write_text('\n'.join(map(str, lines)))

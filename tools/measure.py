"""Measurements: one JSON line a figure, then a table. Fixed seeds."""

import json
import sys
from types import MappingProxyType
from typing import Any, Final

from dykemast._internal.utils.tables import format_table
from tools.measure_latency import measure_latency
from tools.measure_platform import measure_fleets, measure_platform
from tools.measure_slopes import measure_slopes
from tools.simulation import baselines, model, runs, sharings

_SEED = 7
_CASES = (
    model.Demand(20, skewed=False, share=0.5, groups=1),
    model.Demand(20, skewed=True, share=0.5, groups=1),
    model.Demand(20, skewed=True, share=0.8, groups=1),
    model.Demand(20, skewed=True, share=0.8, groups=4),
    model.Demand(20, skewed=True, share=0.95, groups=1),
    model.Demand(20, skewed=True, share=0.95, groups=4),
    model.Demand(20, skewed=True, share=0.5, groups=1, rush=3),
    model.Demand(20, skewed=True, share=0.5, groups=4, rush=3),
    model.Demand(20, skewed=True, share=0.5, groups=1, killed=1),
    model.Demand(20, skewed=True, share=0.5, groups=4, killed=1),
    model.Demand(1, skewed=True, share=0.5, groups=1),
    model.Demand(1, skewed=True, share=0.5, groups=4),
)
_WAYS = (
    ('leases', sharings.share_leases),
    ('equal split', baselines.share_equally),
    ('ask each time', baselines.share_by_asking),
)


def measure_cuts() -> list[dict[str, Any]]:
    """Measure false refusals and overspend in a cut of ten minutes.

    :returns: a row a run.
    """
    return [
        {'figure': 'cut', 'way': name, **measure_cut(demand, make)}
        for demand in _CASES
        for name, make in _WAYS
    ]


def measure_cut(demand: model.Demand, make: Any) -> dict[str, Any]:
    """Measure one way of sharing in one cut.

    :param demand: the load.
    :param make: makes the way of sharing.
    :returns: the figures.
    """
    tally = runs.run(demand, make, _SEED)
    percent = 100 * tally.refused / max(1, tally.possible)
    return {
        **demand._asdict(),
        'possible': tally.possible,
        'false_refusals_percent': round(percent, 2),
        'overspent': tally.overspent,
    }


#: Measurements by name, as the program takes them.
FIGURES: Final = MappingProxyType(
    {
        'cuts': measure_cuts,
        'latency': measure_latency,
        'platform': measure_platform,
        'slopes': measure_slopes,
        'fleets': measure_fleets,
    }
)


def main() -> None:
    """Run the program."""
    wanted = sys.argv[1:] or list(FIGURES)
    for name in wanted:
        rows = FIGURES[name]()
        for row in rows:
            sys.stdout.write(f'{json.dumps(row)}\n')
        sys.stdout.write(f'{format_table(rows, list(rows[0]))}\n')


if __name__ == '__main__':
    main()

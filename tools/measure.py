"""Measurements: one JSON line a figure, then a table. Fixed seeds."""

import json
import sys
from types import MappingProxyType
from typing import Any, Final

from dykemast._internal.utils.tables import format_table
from tools.measure_latency import measure_latency
from tools.measure_overload import measure_overload
from tools.measure_platform import measure_fleets, measure_platform
from tools.measure_slopes import measure_slopes
from tools.simulation import baselines, choices, model, runs, sharings

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
_CHOICES = (
    ('product', choices.choose_as_product),
    ('random', choices.choose_at_random),
    ('round robin', choices.choose_in_turn),
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


def measure_choices() -> list[dict[str, Any]]:
    """Measure the choice of a worker against random and round robin.

    :returns: a row for each way.
    """
    return [
        {'figure': 'choice', 'way': name, **measure_choice(make)}
        for name, make in _CHOICES
    ]


def measure_choice(make: Any) -> dict[str, Any]:
    """Measure one way of choosing.

    :param make: makes the way of choosing.
    :returns: the figures.
    """
    outcome = choices.run_pool(make, _SEED)
    first = sorted(outcome.first)
    return {
        'hits_percent': round(100 * sum(outcome.hits) / len(first), 1),
        'first_mean_ms': round(1000 * sum(first) / len(first)),
        'first_p95_ms': round(1000 * first[len(first) * 95 // 100]),
        'first_p99_ms': round(1000 * first[len(first) * 99 // 100]),
    }


#: Measurements by name, as the program takes them.
FIGURES: Final = MappingProxyType(
    {
        'cuts': measure_cuts,
        'choices': measure_choices,
        'latency': measure_latency,
        'platform': measure_platform,
        'slopes': measure_slopes,
        'fleets': measure_fleets,
        'overload': measure_overload,
    }
)


def _list_columns(rows: list[dict[str, Any]]) -> list[str]:
    return list(dict.fromkeys(name for row in rows for name in row))


def main() -> None:
    """Run the program."""
    wanted = sys.argv[1:] or list(FIGURES)
    for name in wanted:
        rows = FIGURES[name]()
        for row in rows:
            sys.stdout.write(f'{json.dumps(row)}\n')
        sys.stdout.write(f'{format_table(rows, _list_columns(rows))}\n')


if __name__ == '__main__':
    main()

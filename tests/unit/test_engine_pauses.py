"""Estimates of pause risk from the pauses of streams."""

import itertools

from dykemast._internal.operations.engine_pauses import EnginePauses

#: Seconds between events that a route allows.
OBJECTIVE = 0.3
#: Bounds of a high and a low risk.
HIGH = 1 / 2
LOW = 1 / 10


def record_pauses(pauses: EnginePauses, *seen: float) -> EnginePauses:
    """Record pauses of one engine at the same time."""
    for pause in seen:
        pauses.record('e', pause, OBJECTIVE, 0)
    return pauses


def test_risk_is_high_for_engines_with_long_pauses_only() -> None:
    slow = record_pauses(EnginePauses(), 0.34, 0.32, 0.28, 0.36)
    fast = record_pauses(EnginePauses(), 0.24, 0.26, 0.28, 0.25)
    assert slow.estimate_risk('e', 0) > HIGH
    assert not fast.estimate_risk('e', 0)
    assert not slow.estimate_risk('another', 0)


def test_short_pauses_do_not_change_the_risk() -> None:
    # Hundreds of short pauses between two long prompts would dilute the risk,
    # and long prompts would return to an engine that delays streams.
    slow = record_pauses(EnginePauses(), 0.34, 0.36)
    before = slow.estimate_risk('e', 0)
    record_pauses(slow, *itertools.repeat(0.02, 500))
    assert slow.estimate_risk('e', 0) == before


def test_routes_without_an_objective_are_not_counted() -> None:
    pauses = EnginePauses()
    pauses.record('e', 5, 0, 0)
    assert not pauses.estimate_risk('e', 0)
    assert not pauses.export(0)


def test_counts_of_one_router_apply_at_its_peers() -> None:
    exported = record_pauses(EnginePauses(), 0.34, 0.36).export(0)
    other = EnginePauses()
    other.merge('peer', exported, 0)
    assert other.estimate_risk('e', 0) > HIGH
    # A repeated report counts once, and is not exported as own counts.
    other.merge('peer', exported, 0)
    assert other.estimate_risk('e', 0) <= 2 / 3
    assert not other.export(0)


def test_the_risk_of_an_engine_decays() -> None:
    pauses = record_pauses(EnginePauses(), 0.34, 0.36)
    assert pauses.estimate_risk('e', 60) < LOW
    assert not pauses.export(60)
    assert not pauses.estimate_risk('e', 60)

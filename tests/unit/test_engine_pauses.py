"""What is learned of engines from the pauses of streams."""

import itertools

from dykemast._internal.operations.engine_pauses import EnginePauses

#: Seconds between events that a route allows.
OBJECTIVE = 0.3
#: Risks that are plainly high, or low.
HIGH = 1 / 2
LOW = 1 / 10


def note_pauses(pauses: EnginePauses, *seen: float) -> EnginePauses:
    """Note pauses of one engine at one moment."""
    for pause in seen:
        pauses.record('e', pause, OBJECTIVE, 0)
    return pauses


def test_an_engine_that_breaks_pauses_is_known_by_them() -> None:
    slow = note_pauses(EnginePauses(), 0.34, 0.32, 0.28, 0.36)
    fast = note_pauses(EnginePauses(), 0.24, 0.26, 0.28, 0.25)
    assert slow.estimate_risk('e', 0) > HIGH
    assert not fast.estimate_risk('e', 0)
    assert not slow.estimate_risk('another', 0)


def test_usual_pauses_tell_nothing() -> None:
    # Hundreds of short pauses between two long prompts would hide what these
    # do, and long prompts would come back to an engine that breaks pauses.
    slow = note_pauses(EnginePauses(), 0.34, 0.36)
    before = slow.estimate_risk('e', 0)
    note_pauses(slow, *itertools.repeat(0.02, 500))
    assert slow.estimate_risk('e', 0) == before


def test_routes_without_an_objective_tell_nothing() -> None:
    pauses = EnginePauses()
    pauses.record('e', 5, 0, 0)
    assert not pauses.estimate_risk('e', 0)
    assert not pauses.export(0)


def test_what_one_router_sees_helps_all() -> None:
    told = note_pauses(EnginePauses(), 0.34, 0.36).export(0)
    other = EnginePauses()
    other.merge('peer', told, 0)
    assert other.estimate_risk('e', 0) > HIGH
    # Told again it counts once, and nobody passes it on as its own.
    other.merge('peer', told, 0)
    assert other.estimate_risk('e', 0) <= 2 / 3
    assert not other.export(0)


def test_an_engine_that_was_slow_is_tried_again() -> None:
    pauses = note_pauses(EnginePauses(), 0.34, 0.36)
    assert pauses.estimate_risk('e', 60) < LOW
    assert not pauses.export(60)
    assert not pauses.estimate_risk('e', 60)

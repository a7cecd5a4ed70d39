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
        pauses.note('e', pause, OBJECTIVE, 0)
    return pauses


def test_an_engine_that_breaks_pauses_is_known_by_them() -> None:
    slow = note_pauses(EnginePauses(), 0.34, 0.32, 0.28, 0.36)
    fast = note_pauses(EnginePauses(), 0.24, 0.26, 0.28, 0.25)
    assert slow.measure_risk('e', 0) > HIGH
    assert not fast.measure_risk('e', 0)
    assert not slow.measure_risk('another', 0)


def test_usual_pauses_tell_nothing() -> None:
    # Hundreds of short pauses between two long prompts would hide what these
    # do, and long prompts would come back to an engine that breaks pauses.
    slow = note_pauses(EnginePauses(), 0.34, 0.36)
    before = slow.measure_risk('e', 0)
    note_pauses(slow, *itertools.repeat(0.02, 500))
    assert slow.measure_risk('e', 0) == before


def test_routes_without_an_objective_tell_nothing() -> None:
    pauses = EnginePauses()
    pauses.note('e', 5, 0, 0)
    assert not pauses.measure_risk('e', 0)
    assert not pauses.tell(0)


def test_what_one_router_sees_helps_all() -> None:
    told = note_pauses(EnginePauses(), 0.34, 0.36).tell(0)
    other = EnginePauses()
    other.take('peer', told, 0)
    assert other.measure_risk('e', 0) > HIGH
    # Told again it counts once, and nobody passes it on as its own.
    other.take('peer', told, 0)
    assert other.measure_risk('e', 0) <= 2 / 3
    assert not other.tell(0)


def test_an_engine_that_was_slow_is_tried_again() -> None:
    pauses = note_pauses(EnginePauses(), 0.34, 0.36)
    assert pauses.measure_risk('e', 60) < LOW
    assert not pauses.tell(60)
    assert not pauses.measure_risk('e', 60)

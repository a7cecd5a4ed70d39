"""The number of concurrent load report requests is bounded."""

from dykemast._internal.controllers.load_reports import (
    MAX_ASKED,
    choose_due,
)
from dykemast._internal.models.fleet import Instance, LoadReport


def test_load_reports_asked_for_are_bounded() -> None:
    workers = [
        Instance(f'w{number}', 'llm', 'north', '127.0.0.1', 1)
        for number in range(100)
    ]
    reports = {one.name: LoadReport(at=5) for one in workers[:50]}
    due = choose_due(workers, reports)
    assert len(due) == MAX_ASKED
    # Workers without a report come first.
    assert not {one.name for one in due} & set(reports)

"""Structured log lines."""

import json
import os

from dykemast._internal.utils.events import LineHandler, make_logger


def read_line(**fields: str) -> dict[str, str]:
    reader, writer = os.pipe()
    output = LineHandler(writer, {'instance': 'i0', 'incarnation': 'own'})
    with output.applicationbound():
        make_logger('members')('peer_new', **fields)
    output.flush()
    os.close(writer)
    with os.fdopen(reader) as lines:
        return json.loads(lines.readline())


def test_a_line_about_a_peer_names_the_process_that_wrote_it() -> None:
    # If a field of the event replaced the handler's own, a search for the lines
    # of one process would find lines of others.
    line = read_line(peer='i1', incarnation='other')
    assert line['incarnation'] == 'own'
    assert line['peer'] == 'i1'
    assert line['event'] == 'peer_new'

"""Recording of server crashes and of runs that clear a request."""

import operator
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.broken_sends import (
    SIMULTANEOUS_WINDOW_S,
    BrokenSend,
)
from dykemast._internal.operations.crash_evidence import (
    record_crash,
    refute_crash,
)
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import (
    clear_request,
    review_crashes,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')

_SOURCE: Final = 'own'


def record_healthy_run(board: ServingBoard, send: Send) -> None:
    """Record a run that completed, or streamed events for a while.

    :param board: shared state of the router.
    :param send: the send.
    """
    table = board.crashes
    now = read_clock()
    for part in send.identity.list_part_names():
        table.record_sound_part(part, now)
    if not table.crashes and table.is_empty():
        return
    if refute_crash(table, send.server.name):
        _log('end_refuted', server=send.server.name)
        review_crashes(board, _SOURCE)
    for name in send.identity.list_names():
        clear_request(board, name, send.server.name)


def record_broken_send(
    board: ServingBoard,
    send: Send,
    error: UpstreamError,
) -> None:
    """Record a send that failed.

    :param board: shared state of the router.
    :param send: the send.
    :param error: the error of the send.
    """
    server = send.server
    if error.broken:
        board.broken.times.record(server.name, read_clock())
    if server.name in board.leaving:
        # This is a planned stop.
        return
    if error.absent:
        record_server_crash(board, server.name, server.service)
    if error.broken:
        now = read_clock()
        broken = BrokenSend(
            server.name,
            send.identity.compute_digest(),
            send.sent_at,
            send.event_at,
            now,
            send.identity.list_part_names(),
        )
        board.broken.record(broken)


def record_server_crash(board: ServingBoard, name: str, service: str) -> None:
    """Record the crash of a server.

    :param board: shared state of the router.
    :param name: incarnation name of the server.
    :param service: service of the server; empty if no longer known.
    """
    sends = board.broken.take_sends(name)
    if name in board.crashes.crashes and not sends:
        return
    now = read_clock()
    if sends and service:
        board.broken.record_server_crash(service, now)
    crash = _describe_crash(board, sends, ServerCrash(name, 0, (), service))
    _log(
        'server_ended',
        server=name,
        age_s=round(crash.age, 3),
        broke_off=len(sends),
        others=crash.others,
        suspects=[one.request for one in crash.suspects],
    )
    if record_crash(board.crashes, crash, now):
        review_crashes(board, _SOURCE)


def _describe_crash(
    board: ServingBoard,
    sends: list[BrokenSend],
    crash: ServerCrash,
) -> ServerCrash:
    """Describe a crash by the sends that broke with it."""
    now = read_clock()
    ended_at = min((one.broken_at for one in sends), default=now)
    return crash._replace(
        age=now - ended_at,
        suspects=_list_suspects(sends, now),
        others=_count_others(board, crash, ended_at),
    )


def _list_suspects(sends: list[BrokenSend], now: float) -> tuple[Suspect, ...]:
    """List the requests that had just started, and the parts of their prompts.

    Of several sends of one suspect the first may have crashed the server.
    """
    suspects: dict[str, Suspect] = {}
    started = [one for one in sends if one.had_just_started()]
    for one in sorted(started, key=operator.attrgetter('sent_at')):
        for name in (one.request, *one.parts):
            suspects.setdefault(name, Suspect(name, now - one.sent_at))
    return tuple(suspects.values())


def _count_others(
    board: ServingBoard,
    crash: ServerCrash,
    ended_at: float,
) -> int:
    """Count the other servers of the service just before the crash."""
    crashes = board.crashes.crashes
    return sum(
        one.name not in crashes
        or crashes[one.name].ended_at > ended_at - SIMULTANEOUS_WINDOW_S
        for one in list_usable(board, crash.service)
        if one.name != crash.server
    )

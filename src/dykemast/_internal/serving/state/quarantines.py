"""Requests in quarantine: reviewed when something is taken note of."""

from dykemast._internal.models.crashes import CrashGossip
from dykemast._internal.operations import crash_gossip
from dykemast._internal.operations.crash_evidence import clear_suspect
from dykemast._internal.operations.crash_review import review_suspects
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')


def review_crashes(board: ServingBoard, source: str) -> None:
    """Review which requests are in quarantine, and log what is new.

    :param board: the blackboard.
    :param source: who told what was taken note of.
    """
    table = board.crashes
    if not table.crashes and not table.quarantines and not board.quarantined:
        return
    review_suspects(table, read_clock())
    quarantined = set(table.quarantines)
    for request in quarantined - board.quarantined:
        _log_quarantined(board, request, source)
    for request in board.quarantined - quarantined:
        _log('quarantine_over', same_as=request, source=source)
    board.quarantined = quarantined


def clear_request(board: ServingBoard, request: str, source: str) -> None:
    """Clear a request of all that is known of it.

    :param board: the blackboard.
    :param request: its digest.
    :param source: who says that it ends no server.
    """
    if clear_suspect(board.crashes, request, read_clock()):
        _log('request_cleared', same_as=request, source=source)
        review_crashes(board, source)


def build_crash_gossip(board: ServingBoard) -> CrashGossip:
    """Tell others what is known of requests that end servers.

    :param board: the blackboard.
    :returns: the news.
    """
    message = crash_gossip.build_crash_gossip(board.crashes, read_clock())
    return message._replace(complete=is_crash_table_current(board))


def is_crash_table_current(board: ServingBoard) -> bool:
    """Tell whether this router has asked for all since it was last away.

    What others have told while its process stood still, or before it was
    started, has not arrived here.

    :param board: the blackboard.
    :returns: whether it has.
    """
    return board.crashes.is_complete(board.watch.find_last_resume(read_clock()))


def record_crash_answer(
    board: ServingBoard,
    message: CrashGossip,
    asked_at: float,
) -> None:
    """Take note of a peer's answer to this router.

    :param board: the blackboard.
    :param message: what it told, and is taken already.
    :param asked_at: seconds at which it was asked.
    """
    if message.complete:
        board.crashes.asked_at = asked_at


def apply_crash_gossip(
    board: ServingBoard, message: CrashGossip, source: str
) -> None:
    """Take what a peer tells of requests that end servers.

    :param board: the blackboard.
    :param message: the news.
    :param source: the peer.
    """
    if crash_gossip.apply_crash_gossip(board.crashes, message, read_clock()):
        review_crashes(board, source)


def _log_quarantined(board: ServingBoard, request: str, source: str) -> None:
    term = board.crashes.quarantines[request]
    sequence = board.crashes.crash_sequences.get(request, [])
    _log(
        'request_quarantined',
        same_as=request,
        servers=[run.server for run in sequence],
        terms=term.terms,
        seconds=round(term.until - read_clock(), 1),
        source=source,
    )

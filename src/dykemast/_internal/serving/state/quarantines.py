"""Quarantine state of a router, updated after each new report."""

from dykemast._internal.models.crashes import CrashGossip
from dykemast._internal.operations import crash_gossip
from dykemast._internal.operations.crash_evidence import clear_suspect
from dykemast._internal.operations.crash_review import review_suspects
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')


def review_crashes(board: ServingBoard, source: str) -> None:
    """Update the quarantines and log what changed.

    :param board: shared state of the router.
    :param source: origin of the last report.
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
    """Clear a request of all crashes.

    :param board: shared state of the router.
    :param request: digest of the request.
    :param source: origin of the report that the request crashes no server.
    """
    if clear_suspect(board.crashes, request, read_clock()):
        _log('request_cleared', same_as=request, source=source)
        review_crashes(board, source)


def build_crash_gossip(board: ServingBoard) -> CrashGossip:
    """Build the crash report for peers.

    :param board: shared state of the router.
    :returns: the report.
    """
    message = crash_gossip.build_crash_gossip(board.crashes, read_clock())
    return message._replace(complete=is_crash_table_current(board))


def is_crash_table_current(board: ServingBoard) -> bool:
    """Check whether the crash table is complete since the last suspension.

    Reports that peers sent before this process started, or while it was
    suspended, were not received.

    :param board: shared state of the router.
    :returns: whether it is.
    """
    return board.crashes.is_complete(board.watch.find_last_resume(read_clock()))


def record_crash_answer(
    board: ServingBoard,
    message: CrashGossip,
    requested_at: float,
) -> None:
    """Record that a peer answered a request of this router.

    :param board: shared state of the router.
    :param message: crash report in the response, already merged.
    :param requested_at: time of the request, in seconds.
    """
    if message.complete:
        board.crashes.requested_at = requested_at


def apply_crash_gossip(
    board: ServingBoard, message: CrashGossip, source: str
) -> None:
    """Merge a crash report from a peer.

    :param board: shared state of the router.
    :param message: the report.
    :param source: name of the peer.
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

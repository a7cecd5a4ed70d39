"""What backend servers ask for in their answers."""

from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.models.forwarding import AnswerHead
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')


def note_asks(
    board: ServingBoard,
    server: BackendServer,
    head: AnswerHead,
) -> None:
    """Take note of what an answer of a server asks for.

    :param board: the blackboard.
    :param server: the server.
    :param head: head of the answer.
    """
    if head.misdirected:
        # Another server has its address now.
        return
    if board.asked.get(server.name, Backpressure()) != head.asks:
        board.asked[server.name] = head.asks
        _log(
            'server_asks',
            server=server.name,
            request=head.request_id,
            status=head.status,
            **head.asks._asdict(),
        )

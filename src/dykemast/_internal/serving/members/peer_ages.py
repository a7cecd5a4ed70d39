"""How old the knowledge is that a peer shares with this router."""

from dykemast._internal.models.news import News
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge import ages
from dykemast._internal.serving.state.board import ServingBoard


def note_ages(board: ServingBoard, news: News, asked_at: float) -> None:
    """Take over when a peer read what this router knows as well.

    :param board: the blackboard.
    :param news: the peer's answer.
    :param asked_at: seconds at which it was asked.
    """
    told = news.ages
    if board.count_version() >= news.card.revision:
        # Else the newer configuration has to be fetched first.
        kind = CONFIGURATION_KIND
        ages.note_age(board, kind, told.get(kind), asked_at)
    if board.server_state.digest == news.servers.digest:
        ages.note_age(board, SERVER_KIND, told.get(SERVER_KIND), asked_at)

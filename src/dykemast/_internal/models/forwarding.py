"""What passes between this router and backend servers."""

from typing import NamedTuple

from dykemast._internal.models.backend import Backpressure


class ForwardingFields(NamedTuple):
    """What a send to a backend server adds to the caller's fields.

    :param server: id of the server that is meant.
    :param workspace: who spends; empty on a public route.
    :param time_left_s: time left.
    :param priority: 0 to 9, 0 first; None to leave it out.
    :param last_event_id: where a resumed stream goes on; empty for none.
    """

    server: str
    workspace: str
    time_left_s: float
    priority: int | None = None
    last_event_id: str = ''


class ResponseHead(NamedTuple):
    """Head of a backend server's answer.

    :param status: HTTP status.
    :param request_id: the request that it says it answers.
    :param signed: whether the server signed it.
    :param not_executed: whether the server states that it did not run the
        request.
    :param misdirected: whether another server than the one that was meant
        answered.
    :param headers: fields to be passed on.
    :param delimited: whether a length or chunks show where the body ends.
    :param backpressure: what the server asks for.
    """

    status: int
    request_id: str
    signed: bool
    not_executed: bool
    misdirected: bool
    headers: list[tuple[bytes, bytes]]
    delimited: bool
    backpressure: Backpressure = Backpressure()

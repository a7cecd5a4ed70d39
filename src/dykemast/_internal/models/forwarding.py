"""Header fields exchanged with backend servers."""

from typing import NamedTuple

from dykemast._internal.models.backend import Backpressure


class ForwardingFields(NamedTuple):
    """Header fields that a router adds to those of the caller.

    :param server: id of the server that should run the request.
    :param workspace: workspace that pays; empty on a public route.
    :param time_left_s: time until the deadline.
    :param priority: from 0, served first, to 9; None to omit it.
    :param last_event_id: event after which a stream resumes; empty for none.
    """

    server: str
    workspace: str
    time_left_s: float
    priority: int | None = None
    last_event_id: str = ''


class ResponseHead(NamedTuple):
    """Status and header fields of a response of a backend server.

    :param status: HTTP status.
    :param request_id: id of the request that it states to respond to.
    :param signed: whether the server signed it.
    :param not_executed: whether the server states that it did not run the
        request.
    :param misdirected: whether another server than the intended one responded.
    :param headers: fields to forward to the caller.
    :param delimited: whether a length or chunks mark the end of the body.
    :param backpressure: limit, leaving and backoff of the server.
    """

    status: int
    request_id: str
    signed: bool
    not_executed: bool
    misdirected: bool
    headers: list[tuple[bytes, bytes]]
    delimited: bool
    backpressure: Backpressure = Backpressure()

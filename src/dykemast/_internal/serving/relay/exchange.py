"""A request that is being served, with all that serving it needs."""

from typing import NamedTuple

from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.responder import Responder
from dykemast._internal.serving.requests.ticket import Ticket


class Exchange(NamedTuple):
    """A request that is being served.

    :param parts: parts of the program.
    :param ticket: the request.
    :param body: its body.
    :param responder: answers the caller.
    """

    parts: Parts
    ticket: Ticket
    body: bytes
    responder: Responder

"""A request that is being served, with all that serving it needs."""

from typing import NamedTuple

from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.responder import Responder
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest


class Exchange(NamedTuple):
    """A request that is being served.

    :param parts: parts of the program.
    :param admitted: the request.
    :param body: its body.
    :param responder: answers the caller.
    :param identity: by which it is known again when it is asked anew.
    """

    parts: Parts
    admitted: AdmittedRequest
    body: bytes
    responder: Responder
    identity: RequestIdentity


def open_exchange(
    parts: Parts,
    admitted: AdmittedRequest,
    body: bytes,
    responder: Responder,
) -> Exchange:
    """Begin to serve a request.

    :param parts: parts of the program.
    :param admitted: the request.
    :param body: its body.
    :param responder: answers the caller.
    :returns: the exchange.
    """
    workspace = admitted.workspace.name if admitted.workspace else ''
    identity = RequestIdentity(admitted.request, workspace, body)
    return Exchange(parts, admitted, body, responder, identity)

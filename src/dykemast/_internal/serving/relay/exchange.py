"""A request in progress with everything that serving it needs."""

from typing import NamedTuple

from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.responder import Responder
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest


class Exchange(NamedTuple):
    """A request in progress.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param body: body of the request.
    :param responder: sends the response to the caller.
    :param identity: digest that identifies repeats of the request.
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
    """Create the exchange of an admitted request.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param body: body of the request.
    :param responder: sends the response to the caller.
    :returns: the exchange.
    """
    workspace = admitted.workspace.name if admitted.workspace else ''
    identity = RequestIdentity(admitted.request, workspace, body)
    return Exchange(parts, admitted, body, responder, identity)

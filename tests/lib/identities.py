"""Identities by which routers recognise a repeated request."""

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.operations.request_identity import RequestIdentity

REQUEST = CallerRequest(
    request_id='any',
    method='POST',
    host='shop.example',
    path='/a',
    target='/a?b=c',
    key='key',
    timeout_s=None,
    headers=(),
    prompt_tokens=0,
    output_tokens=0,
    prompt=(),
    last_event_id='',
)


def make_identity(**fields: str) -> RequestIdentity:
    return RequestIdentity(REQUEST._replace(**fields), 'joinville', b'body')


def identify(workspace: str, body: bytes) -> RequestIdentity:
    """Make the identity of a request from its workspace and its body."""
    return RequestIdentity(REQUEST, workspace, body)

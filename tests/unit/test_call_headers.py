"""Headers of callers that are forwarded to a plain service."""

from starlette.datastructures import Headers

from dykemast._internal.path.backend_requests import make_call_request

#: Callers may send these, but none reaches the service.
DROPPED = (
    (b'connection', b'close, X-Once'),
    (b'connection', b'x-twice'),
    (b'x-once', b'1'),
    (b'x-twice', b'1'),
    (b'expect', b'100-continue'),
    (b'proxy-connection', b'close'),
    (b'x-fencing-number', b'99'),
    (b'authorization', b'Bearer key'),
)
PASSED = ((b'accept', b'text/plain'), (b'x-app', b'1'))


def test_hop_by_hop_and_router_headers_are_not_forwarded() -> None:
    # Guards against forwarding headers that `Connection` lists, and a fencing
    # number, with which a caller could make a service refuse its router.
    service = {'name': 'orders', 'kind': 'plain'}
    headers = Headers(raw=[*DROPPED, *PASSED])
    order = make_call_request(service, '/a', 'POST', headers)
    assert order.headers == {'accept': 'text/plain', 'x-app': '1'}

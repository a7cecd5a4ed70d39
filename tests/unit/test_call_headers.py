"""Which header fields of a caller a plain service gets."""

from starlette.datastructures import Headers

from dykemast._internal.path.orders import make_call_request

#: Each may be said by a caller, and none of them reaches the service.
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


def test_fields_of_one_connection_or_of_routers_end_here() -> None:
    # What `Connection` lists went on, and so did a fencing number, by which a
    # caller could have had a service refuse its router.
    service = {'name': 'orders', 'kind': 'plain'}
    headers = Headers(raw=[*DROPPED, *PASSED])
    order = make_call_request(service, '/a', 'POST', headers)
    assert order.headers == {'accept': 'text/plain', 'x-app': '1'}

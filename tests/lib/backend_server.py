"""Stand-in of a users' backend server, by their published protocol.

``python -m tests.lib.backend_server --port N --name ID``. It streams events
for paths under ``/stream/`` and answers at once elsewhere. ``POST /control``
sets ``fault``: nothing, ``shed`` (503, not run), ``error`` (500), ``cut``
(breaks off midway), ``part`` (ends in the middle of an event), ``mute`` (no
answer), ``unsigned``, ``other`` (answers another request) or
``misdirected``; ``pause`` (seconds between events) and ``delay`` (seconds
that a plain call takes). It returns what ran and what it got.
"""

import asyncio
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from tests.lib.stand_ins import make_parser, run_app

EVENT_PAUSE = 0.01
state: dict[str, Any] = {
    'fault': '',
    'name': '',
    'pause': EVENT_PAUSE,
    'delay': 0,
}
runs: list[dict[str, Any]] = []


class BreakError(Exception):
    """Breaks an answer off."""


def _make_head(request: Request) -> dict[str, str]:
    answered = request.headers.get('x-attempt-id', '')
    if state['fault'] == 'other':
        answered = 'somebody-else'
    head = {'x-attempt-id': answered}
    if state['fault'] != 'unsigned':
        name = state['name']
        head['x-response-seal'] = f'signed.{name}'
    return head


async def serve(request: Request) -> Response:
    head = _make_head(request)
    expected = request.headers.get('x-expect-instance')
    if state['fault'] == 'misdirected' or expected != state['name']:
        return Response('', 421, head)
    if state['fault'] == 'shed':
        return Response('', 503, {**head, 'x-not-executed': '1'})
    body = await request.body()
    runs.append(
        {
            'id': request.headers.get('x-attempt-id'),
            'path': str(request.url.path),
            'query': str(request.url.query),
            'headers': dict(request.headers),
            'body': body.decode('latin-1'),
            'events': 0,
        }
    )
    if state['fault'] == 'mute':
        await asyncio.sleep(30)
    if state['fault'] == 'error':
        return Response('failed', 500, head)
    if request.url.path.startswith('/stream/'):
        head['content-type'] = 'text/event-stream'
        events = _make_events(request, runs[-1])
        return StreamingResponse(events, 200, head)
    await asyncio.sleep(state['delay'])
    return Response('done', 200, head)


async def _make_events(request: Request, run: dict[str, Any]) -> Any:
    _, _, most = request.headers['x-token-usage'].partition(',')
    first = int(request.headers.get('last-event-id') or 0) + 1
    for number in range(first, int(most) + 1):
        await asyncio.sleep(state['pause'])
        fault = state['fault'] if number == first + 2 else ''
        if fault in {'cut', 'part'}:
            yield f'id: {number}\nda'.encode()
            if fault == 'part':
                return
            await asyncio.sleep(0.05)
            raise BreakError
        run['events'] += 1
        yield f'id: {number}\ndata: {state["name"]}\n\n'.encode()
    run['whole'] = True


async def control(request: Request) -> Response:
    state.update(await request.json())
    return JSONResponse({'runs': runs})


app = Starlette(
    routes=[
        Route('/control', control, methods=['POST']),
        Route('/{path:path}', serve, methods=['GET', 'POST', 'PUT']),
    ]
)

if __name__ == '__main__':
    parser = make_parser()
    parser.add_argument('--name', required=True)
    options = parser.parse_args()
    state['name'] = options.name
    run_app(app, options, 'critical')

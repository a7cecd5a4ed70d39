"""Stand-in for a plain service; counts the runs of each key.

``python -m tests.lib.plain --port N``. ``GET /counts`` returns the runs per
request id; ``POST /control`` sets ``delay`` (s) before a response.
"""

import asyncio

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from tests.lib.stand_ins import make_controls, make_parser, run_app

settings = {'delay': 0}
ran: dict[str, int] = {}


async def run_call(request: Request) -> Response:
    body = await request.body()
    key = request.headers.get('idempotency-key', '')
    ran[key] = ran.get(key, 0) + 1
    await asyncio.sleep(settings['delay'])
    seen = {
        'method': request.method,
        'path': request.url.path,
        'query': request.url.query,
        'body': body.decode(),
        'run': ran[key],
    }
    echo = {'x-request-id': request.headers.get('x-request-id', '')}
    return JSONResponse(seen, headers=echo)


app = Starlette(
    routes=[
        *make_controls(settings, ran),
        Route(
            '/{path:path}', run_call, methods=['GET', 'POST', 'PUT', 'DELETE']
        ),
    ]
)

if __name__ == '__main__':
    run_app(app, make_parser().parse_args(), 'critical')

"""Start of the stand-in programs."""

import argparse
from typing import Any

import uvicorn
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


def make_parser() -> argparse.ArgumentParser:
    """Make a parser of the arguments that all stand-ins share."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    return parser


def run_app(
    app: Any,
    options: argparse.Namespace,
    log_level: str = 'error',
) -> None:
    """Serve until a signal; those that inject faults log ``critical`` only."""
    uvicorn.run(
        app,
        host=options.host,
        port=options.port,
        loop='asyncio',
        log_level=log_level,
        timeout_graceful_shutdown=1,
    )


def make_controls(settings: dict[str, Any], counts: dict[str, int]) -> list:
    """Make the routes that set a stand-in's faults and return its counts."""

    async def show_counts(_: Request) -> Response:
        return JSONResponse(counts)

    async def control(request: Request) -> Response:
        settings.update(await request.json())
        return JSONResponse(settings)

    return [
        Route('/counts', show_counts),
        Route('/control', control, methods=['POST']),
    ]

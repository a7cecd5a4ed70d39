"""How the stand-ins, each a program of its own, are started."""

import argparse
from typing import Any

import uvicorn


def make_parser() -> argparse.ArgumentParser:
    """Make a parser of the arguments that all stand-ins take."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    return parser


def run_app(
    app: Any,
    options: argparse.Namespace,
    log_level: str = 'error',
) -> None:
    """Serve until a signal; who fails on purpose logs ``critical`` only."""
    uvicorn.run(
        app,
        host=options.host,
        port=options.port,
        loop='asyncio',
        log_level=log_level,
        timeout_graceful_shutdown=1,
    )

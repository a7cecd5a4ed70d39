"""Endpoints for router addresses, models and health."""

from http import HTTPStatus
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from dykemast._internal.operations.entry import make_entry
from dykemast._internal.operations.peers import list_cards
from dykemast._internal.path.admission import find_configuration
from dykemast._internal.path.parts import Parts
from dykemast._internal.utils.clock import read_clock


async def serve_entry(parts: Parts, _: Request, body: bytes) -> Response:
    """Return the router addresses to use.

    :param parts: shared components of the router.
    :param body: not used.
    :returns: the response.
    """
    board = parts.board
    cards = list_cards(board, read_clock())
    keep = board.settings.get('keep_entry', 0)
    entry: Any = make_entry(cards, board.settings['hall'], keep)
    return JSONResponse(entry)


async def serve_models(parts: Parts, _: Request, body: bytes) -> Response:
    """List the models in the format of the OpenAI API.

    :param parts: shared components of the router.
    :param body: not used.
    :returns: the response.
    """
    models = [
        {'id': model['name'], 'object': 'model', 'owned_by': model['service']}
        for model in find_configuration(parts.board)['models']
    ]
    return JSONResponse({'object': 'list', 'data': models})


async def serve_live(parts: Parts, _: Request, body: bytes) -> Response:
    """Report that the process runs.

    :param parts: not used.
    :param body: not used.
    :returns: the response.
    """
    return JSONResponse({'live': True})


async def serve_ready(parts: Parts, _: Request, body: bytes) -> Response:
    """Report whether callers should send requests here.

    A router is not ready while a background loop fails each time it runs.

    :param parts: shared components of the router.
    :param body: not used.
    :returns: the response.
    """
    board = parts.board
    known = board.rules.revision is not None
    failing = board.loops.list_failing(read_clock())
    ready = known and not board.traffic.leaving and not failing
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return JSONResponse({'ready': ready}, status)

"""Refusals as callers see them."""

from starlette.responses import JSONResponse, Response

from dykemast._internal.models.requests import STATUSES, Refusal


def answer_refusal(refusal: Refusal, name: str) -> Response:
    """Tell a caller of a refusal.

    :param refusal: what to tell.
    :param name: id of the request.
    :returns: the answer.
    """
    headers = {'x-request-id': name}
    if refusal.retry_after:
        headers['retry-after'] = str(refusal.retry_after)
    error = {
        'code': refusal.code.value,
        'message': refusal.text,
        'ran': refusal.ran.value,
        'request': name,
    }
    return JSONResponse({'error': error}, STATUSES[refusal.code], headers)

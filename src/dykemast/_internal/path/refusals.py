"""HTTP responses for refusals."""

from starlette.responses import JSONResponse, Response

from dykemast._internal.models.requests import STATUSES, Refusal


def answer_refusal(refusal: Refusal, name: str) -> Response:
    """Make the HTTP response of a refusal.

    :param refusal: the refusal.
    :param name: id of the request.
    :returns: the response.
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

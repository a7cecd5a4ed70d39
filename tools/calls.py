"""Calls of JSON APIs on loopback."""

import json
from typing import Any, Final
from urllib import error as url_error
from urllib import request as url_request

from tools.polling import HANG_GUARD, poll_until

#: Seconds that are waited for a process to be ready, on an idle machine.
START_TIMEOUT: Final = 60.0


def call(url: str, fields: Any = None, key: str = '') -> Any:
    """Call a JSON API.

    :param url: what to call.
    :param fields: JSON to post; nothing for GET.
    :param key: bearer key.
    :returns: the decoded answer.
    """
    body = None if fields is None else json.dumps(fields).encode()
    request = url_request.Request(url, body)
    request.add_header('authorization', f'Bearer {key}')
    request.add_header('content-type', 'application/json')
    with url_request.urlopen(request, timeout=HANG_GUARD) as response:
        return json.load(response)


def wait_for(url: str) -> None:
    """Wait until a URL answers 200.

    :param url: what to ask.
    :raises TimeoutError: when it does not.
    """
    if not poll_until(lambda: _answers(url), START_TIMEOUT):
        raise TimeoutError(f'{url} did not answer.')


def _answers(url: str) -> bool:
    try:
        call(url)
    except (url_error.URLError, OSError):
        return False
    return True

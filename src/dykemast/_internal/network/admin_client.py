"""Client of the administration API for the command line."""

import asyncio
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec

from dykemast._internal.exceptions import (
    AdminError,
    Finding,
    InvalidFileError,
    StaleRevisionError,
)

CALL_TIMEOUT_S: Final = 15.0
_CONFLICT: Final = 409
_INVALID: Final = 422
_OK: Final = 200


class AdminAddress(NamedTuple):
    """Address and key of the administration API.

    :param url: URL without a path.
    :param key: the operators' key.
    """

    url: str
    key: str


def call_admin(
    address: AdminAddress,
    method: str,
    path: str,
    fields: dict[str, Any] | None = None,
) -> Any:
    """Call the administration API.

    :param address: address and key of the API.
    :param method: HTTP method.
    :param path: path and query.
    :param fields: JSON body, if any.
    :returns: the decoded response.
    :raises AdminError: when there is no response, or the call is refused.
    :raises InvalidFileError: when the submitted file has findings.
    :raises StaleRevisionError: when the base revision is not the newest.
    """
    return asyncio.run(_call(address, method, path, fields))


async def _call(
    address: AdminAddress,
    method: str,
    path: str,
    fields: dict[str, Any] | None,
) -> Any:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    headers = {'authorization': f'Bearer {address.key}'}
    async with aiohttp.ClientSession(timeout=timeout) as session:
        call = session.request(
            method, address.url + path, json=fields, headers=headers
        )
        try:
            async with call as response:
                return _decode(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AdminError(_explain(address, error)) from error


def _explain(address: AdminAddress, error: Exception) -> str:
    return (
        f'no response from {address.url} ({type(error).__name__}). '
        'Is a router running there? Set --admin or DYKEMAST_ADMIN.'
    )


def _decode(status: int, body: bytes) -> Any:
    try:
        fields = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise AdminError(
            f'the response (status {status}) is not valid JSON.'
        ) from error
    if status == _OK:
        return fields
    if status == _INVALID and 'findings' in fields:
        raise InvalidFileError(
            [Finding(**finding) for finding in fields['findings']]
        )
    text = fields.get('error', {}).get('message', 'no reason given.')
    kind = StaleRevisionError if status == _CONFLICT else AdminError
    raise kind(f'refused ({status}): {text}')

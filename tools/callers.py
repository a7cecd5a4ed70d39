"""A caller of the fleet: keeps entry answers, and asks again under one key."""

import asyncio
import json
import random
import time
from typing import Any, Final, NamedTuple

import aiohttp

from tools import bodies


#: Seconds that a caller waits for one answer.
ANSWER_TIMEOUT: Final = 30
#: Times that a caller asks again under the same key.
MAX_ATTEMPTS: Final = 6
_OK: Final = 200
_PAUSE: Final = 0.2


class Attempt(NamedTuple):
    """One attempt of a request.

    :param request: id given by the router; empty when it told none.
    :param code: ``ok``, a refusal's code, or ``cut``.
    :param ran: what a refusal said of it.
    """

    request: str
    code: str
    ran: str = 'unknown'


class Served(NamedTuple):
    """What became of one request.

    :param key: its idempotency key.
    :param kind: ``chat`` or ``call``.
    :param attempts: its attempts, in order.
    :param first: seconds until the first byte of the last attempt.
    :param total: seconds until the end of the last attempt.
    """

    key: str
    kind: str
    attempts: list[Attempt]
    first: float
    total: float

    def is_answered(self) -> bool:
        """Tell whether the caller got its whole answer.

        :returns: whether the last attempt did.
        """
        return self.attempts[-1].code == 'ok'


class Caller:
    """A caller of one workspace that keeps entry answers for a while.

    :param session: connections.
    :param workspace: whose key it has.
    :param known: addresses to ask first.
    :param chance: source of randomness.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        workspace: str,
        known: list[str],
        chance: random.Random,
    ) -> None:
        """Start with no entry answer."""
        self._session = session
        self._headers = {'authorization': f'Bearer {workspace}-key'}
        self._addresses = known
        self._chance = chance
        self._keep_until = float(0)

    async def run(
        self,
        key: str,
        kind: str,
        most: int = MAX_ATTEMPTS,
    ) -> Served:
        """Send a request, again where that is right, until it is answered.

        :param key: its idempotency key.
        :param kind: ``chat`` or ``call``.
        :param most: attempts at the most.
        :returns: what became of it.
        """
        attempts: list[Attempt] = []
        while True:
            started = time.monotonic()
            first, attempt = await self._try(key, kind)
            attempts.append(attempt)
            if attempt.code == 'ok' or len(attempts) == most:
                total = time.monotonic() - started
                return Served(key, kind, attempts, first, total)
            await asyncio.sleep(_PAUSE * len(attempts))

    async def _choose_address(self) -> str:
        if time.monotonic() > self._keep_until:
            asked = self._chance.choice(self._addresses)
            async with self._session.get(f'{asked}/v1/entry') as response:
                entry = await response.json()
            self._addresses = [one['address'] for one in entry['addresses']]
            self._keep_until = time.monotonic() + entry['keep_seconds']
        return self._chance.choice(self._addresses)

    async def _try(self, key: str, kind: str) -> tuple[float, Attempt]:
        started = time.monotonic()
        try:
            return await self._send(started, key, kind)
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Whatever was kept may be wrong by now.
            self._keep_until = float(0)
            return 0, Attempt('', 'cut')

    async def _send(
        self,
        started: float,
        key: str,
        kind: str,
    ) -> tuple[float, Attempt]:
        address = await self._choose_address()
        async with self._post(address, key, kind) as response:
            first = time.monotonic() - started
            return first, await _read(response, kind)

    def _post(self, address: str, key: str, kind: str) -> Any:
        return self._session.post(
            address + bodies.PATHS[kind],
            data=bodies.make_body(kind, self._chance),
            headers={**self._headers, 'idempotency-key': key},
        )


async def _read(response: Any, kind: str) -> Attempt:
    name = response.headers.get('x-request-id', '')
    body = await response.read()
    if response.status != _OK:
        error = json.loads(body)['error']
        return Attempt(name, error['code'], error['ran'])
    whole = kind == 'call' or body.endswith(b'data: [DONE]\n\n')
    return Attempt(name, 'ok' if whole else 'cut')

"""Where a caller goes: it asks the entry, and keeps the answer for a while."""

import json
import random
import time
from contextlib import suppress
from http import client as http_client

from tests.lib.deployment import Deployment
from tests.lib.users_objects import HOST

#: Routers that are asked at most, and seconds that each is given.
TRIES = 3
ENTRY_TIMEOUT = 1.0


class EntryBook:
    """The entry's last answer.

    :param deployment: whose routers are asked.
    :param chance: draws who is asked.
    :param factor: times its length of life for which an answer is kept.
    """

    def __init__(
        self, deployment: Deployment, chance: random.Random, factor: float
    ) -> None:
        self._deployment = deployment
        self._chance = chance
        self._factor = factor
        self._kept_until = float()
        self._names: list[str] = []
        self._by_host = {
            deployment.find_host(name): name for name in deployment.names
        }

    def list_names(self) -> list[str]:
        """List routers to go to; those before if nobody answers."""
        if time.monotonic() >= self._kept_until:
            self._renew()
        return self._names

    def pass_over(self, name: str) -> None:
        """Take note that a router did not take a connection."""
        self._names = [known for known in self._names if known != name]
        if not self._names:
            self._kept_until = float()

    def _renew(self) -> None:
        count = min(TRIES, len(self._deployment.names))
        for name in self._chance.sample(self._deployment.names, count):
            if self._ask(name):
                return

    def _ask(self, name: str) -> bool:
        connection = http_client.HTTPConnection(
            self._deployment.find_host(name),
            self._deployment.ports['entry'],
            timeout=ENTRY_TIMEOUT,
        )
        told = {}
        with suppress(OSError, http_client.HTTPException):
            connection.request('GET', f'/resolve?name={HOST}')
            told = json.loads(connection.getresponse().read() or b'{}')
        connection.close()
        if told.get('addresses'):
            kept_for = self._factor * told['ttlS']
            self._kept_until = time.monotonic() + kept_for
            self._names = self._read_names(told['addresses'])
        return bool(told.get('addresses'))

    def _read_names(self, addresses: list[str]) -> list[str]:
        hosts = [address.partition(':')[0] for address in addresses]
        return [self._by_host[host] for host in hosts]

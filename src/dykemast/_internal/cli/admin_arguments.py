"""Arguments with the address of the administration API."""

import dataclasses
import sys
from typing import Annotated, Any

import cappa
import msgspec

from dykemast._internal.network.admin_client import AdminAddress


@dataclasses.dataclass
class AdminArguments:
    """Arguments shared by all commands that call a router."""

    admin: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(
                'DYKEMAST_ADMIN', default='http://127.0.0.1:7003'
            ),
            help='URL of the administration API.',
        ),
    ]
    key: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('DYKEMAST_KEY', default=''),
            help="The operators' key; prefer DYKEMAST_KEY.",
        ),
    ]
    json: Annotated[
        bool, cappa.Arg(long=True, help='Print JSON, for scripts.')
    ] = False

    def find_address(self) -> AdminAddress:
        """Get the address of the administration API.

        :returns: URL and key.
        """
        return AdminAddress(self.admin.rstrip('/'), self.key)

    def show(self, answer: Any, text: str) -> None:
        """Print a response as text, or as JSON if requested.

        :param answer: the response, printed as JSON.
        :param text: the response as formatted text.
        """
        if self.json:
            text = msgspec.json.encode(answer).decode()
        sys.stdout.write(f'{text}\n')

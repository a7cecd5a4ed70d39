"""Decoding of addresses in the platform's formats."""

import ipaddress
import re
from typing import Final

from dykemast._internal.models.deployment import Endpoint

_PORT: Final = re.compile('[0-9]{1,5}')
_MAX_PORT: Final = 65535


def decode_endpoint(text: str) -> Endpoint:
    """Decode ``IP:PORT``.

    :param text: the address.
    :returns: the endpoint.
    :raises ValueError: when the text is not a valid address and port.
    """
    host, _, digits = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(digits) or not 0 < int(digits) <= _MAX_PORT:
        raise ValueError(f'{text!r} is not IP:PORT')
    return Endpoint(host, int(digits))

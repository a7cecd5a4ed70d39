"""Addresses in the platform's texts."""

from dykemast._internal.models.deployment import Endpoint


def decode_endpoint(text: str) -> Endpoint:
    """Decode ``IP:PORT``.

    :param text: the address.
    :returns: the endpoint.
    :raises ValueError: when it is none.
    """
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'{text!r} is not IP:PORT')
    return Endpoint(host, int(port))

"""Compact bodies for what passes between routers seldom and is large.

Links may be narrow, and entries of a list are much alike.
"""

import zlib
from typing import Any, TypeVar

import msgspec

from dykemast._internal.exceptions import NotUsableError

Packed = TypeVar('Packed')


def pack(packed: Any) -> bytes:
    """Write down a value.

    :param packed: a value of typed data.
    :returns: compressed MessagePack.
    """
    return zlib.compress(msgspec.msgpack.encode(packed))


def unpack(body: bytes, kind: type[Packed]) -> Packed:
    """Read what ``pack`` wrote.

    :param body: the bytes.
    :param kind: type of the value.
    :returns: the value.
    :raises NotUsableError: when it is none.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=kind)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise NotUsableError(f'{type(error).__name__}: {error}') from error

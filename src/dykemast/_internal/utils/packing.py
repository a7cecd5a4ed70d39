"""Compact bodies for what passes between routers.

Links may be narrow, and entries of a list are much alike.
"""

import zlib
from typing import Any, Final, TypeVar

import msgspec

from dykemast._internal.exceptions import InvalidDataError

Packed = TypeVar('Packed')

#: Two thirds of the time of the usual level, for 8 % more bytes of news.
FAST_COMPRESSION: Final = zlib.Z_BEST_SPEED


def pack(packed: Any, level: int = zlib.Z_DEFAULT_COMPRESSION) -> bytes:
    """Write down a value.

    :param packed: a value of typed data.
    :param level: of compression; ``FAST_COMPRESSION`` for what is written
        often.
    :returns: compressed MessagePack.
    """
    return zlib.compress(msgspec.msgpack.encode(packed), level)


def unpack(body: bytes, kind: type[Packed]) -> Packed:
    """Read what ``pack`` wrote.

    :param body: the bytes.
    :param kind: type of the value.
    :returns: the value.
    :raises InvalidDataError: when it is none.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=kind)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise InvalidDataError(f'{type(error).__name__}: {error}') from error

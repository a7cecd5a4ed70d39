"""Which paths a caller may ask for."""

from typing import Final

from dykemast._internal.platform import names

_DOT_SEGMENTS: Final = frozenset(('.', '..'))


def check_path(path: str) -> None:
    """Check that a path means the same to every server.

    Some servers resolve segments of dots; a request would leave its route.

    :param path: the path, decoded.
    :raises ValueError: when it has such segments.
    """
    if not _DOT_SEGMENTS.isdisjoint(path.split('/')):
        raise ValueError('the path has segments of dots')


def is_engine_call(path: str) -> bool:
    """Tell whether a path is a call of engines that only routers make.

    :param path: the path, decoded.
    :returns: whether it is.
    """
    first = path.lstrip('/').partition('/')[0]
    return first in names.ENGINE_CALLS

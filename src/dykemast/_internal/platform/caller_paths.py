"""Checks of the paths that callers request."""

from typing import Final

from dykemast._internal.platform import names

_DOT_SEGMENTS: Final = frozenset(('.', '..'))


def check_path(path: str) -> None:
    """Check that all servers interpret a path in the same way.

    Some servers resolve dot segments, so that a request would leave its route.

    :param path: the path, decoded.
    :raises ValueError: when the path has dot segments.
    """
    if not _DOT_SEGMENTS.isdisjoint(path.split('/')):
        raise ValueError('the path contains dot segments')


def is_engine_call(path: str) -> bool:
    """Tell whether a path is an engine call that only routers may make.

    :param path: the path, decoded.
    :returns: whether it is.
    """
    first = path.lstrip('/').partition('/')[0]
    return first in names.ENGINE_CALLS

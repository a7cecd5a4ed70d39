"""Checks of paths and header fields of callers, and which are forwarded.

Of the fields that backend servers interpret, only ``CALLER_FIELDS`` are
forwarded. Other fields are forwarded unless a server could read them as a
field of the router, a control field of engines, or a duplicate of a field that
the caller declares.
"""

from collections import Counter
from typing import Final

from dykemast._internal.platform import names

Fields = list[tuple[str, str]]

_CONNECTION: Final = 'connection'
#: Names that servers interpret; no other field may be read as one of them.
_RESERVED: Final = (
    names.HOP_BY_HOP_HEADERS | names.OWN_FIELDS | names.CALLER_FIELDS
)
_CONTROL_PREFIXES: Final = tuple(f'{name}-' for name in names.CONTROL_FAMILIES)
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


def check_duplicates(pairs: Fields) -> None:
    """Check that no declared field is repeated.

    Otherwise the router could bill by one value and the server run by another.

    :param pairs: all fields of a caller, with names in lower case.
    :raises ValueError: when a declared field is repeated.
    """
    counts = Counter(name for name, _ in pairs)
    for name in (*names.CALLER_FIELDS, names.LAST_EVENT, names.RESUMES):
        if counts[name] > 1:
            raise ValueError(f'{name} is set {counts[name]} times')


def choose_forwarded(pairs: Fields) -> Fields:
    """Choose the fields to forward.

    :param pairs: all fields of a caller, with names in lower case.
    :returns: the forwarded fields, unchanged and in order.
    """
    listed = _find_connection_options(pairs)
    return [pair for pair in pairs if _is_forwarded(pair[0], listed)]


def _find_connection_options(pairs: Fields) -> frozenset[str]:
    """Find the field names that the Connection header lists."""
    listings = [text for name, text in pairs if name == _CONNECTION]
    listed = ','.join(listings).lower().split(',')
    return frozenset(name.strip() for name in listed)


def _is_forwarded(name: str, listed: frozenset[str]) -> bool:
    # Declared fields are forwarded even if the Connection header lists them:
    # the router and the server must see the same values.
    if name in names.CALLER_FIELDS:
        return True
    return name not in listed and not _is_reserved(name)


def _is_reserved(name: str) -> bool:
    # Some servers treat underscores as hyphens.
    read_as = name.replace('_', '-')
    return read_as in _RESERVED or f'{read_as}-'.startswith(_CONTROL_PREFIXES)

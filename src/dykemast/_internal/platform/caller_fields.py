"""Which header fields of a caller go on to a backend server.

Only what is listed as a caller's to say may mean something to a backend
server. Other fields go on if no server can take them for one that has a
meaning: neither for one of the router's words, nor for a control field of
engines, nor for a second opinion on what a caller declares.
"""

from collections import Counter
from typing import Final

from dykemast._internal.platform import names
from dykemast._internal.utils.hop_by_hop_headers import HOP_BY_HOP_HEADERS

Fields = list[tuple[str, str]]

_CONNECTION: Final = 'connection'
#: Names with a meaning, so that no other field may be read as one of them.
_RESERVED: Final = HOP_BY_HOP_HEADERS | names.OWN_FIELDS | names.CALLER_FIELDS
_CONTROL_PREFIXES: Final = tuple(f'{name}-' for name in names.CONTROL_FAMILIES)


def check_duplicates(pairs: Fields) -> None:
    """Check that a caller declares nothing twice.

    The router would count by one declaration, and the server run the other.

    :param pairs: all fields of a caller, with names in lower case.
    :raises ValueError: when it does.
    """
    counts = Counter(name for name, _ in pairs)
    for name in names.CALLER_FIELDS:
        if counts[name] > 1:
            raise ValueError(f'{name} is there twice')


def choose_forwarded(pairs: Fields) -> Fields:
    """Choose the fields that go on.

    :param pairs: all fields of a caller, with names in lower case.
    :returns: those that go on, unchanged and in order.
    """
    listed = _find_connection_options(pairs)
    return [pair for pair in pairs if _is_forwarded(pair[0], listed)]


def _find_connection_options(pairs: Fields) -> frozenset[str]:
    """Find the names that a caller lists as its connection's."""
    listings = [text for name, text in pairs if name == _CONNECTION]
    listed = ','.join(listings).lower().split(',')
    return frozenset(name.strip() for name in listed)


def _is_forwarded(name: str, listed: frozenset[str]) -> bool:
    # What is meant for the server does not end with the connection, whatever
    # a caller lists there: the router and the server have to see the same.
    if name in names.CALLER_FIELDS:
        return True
    return name not in listed and not _is_reserved(name)


def _is_reserved(name: str) -> bool:
    # Some servers take an underscore for a hyphen.
    read_as = name.replace('_', '-')
    return read_as in _RESERVED or f'{read_as}-'.startswith(_CONTROL_PREFIXES)

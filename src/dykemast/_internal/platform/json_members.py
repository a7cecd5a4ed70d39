"""Members of a JSON document, told apart before any is read."""

import itertools
import re
from typing import Final

import msgspec

#: What reading raises. Nesting beyond the interpreter's limit is no error of
#: JSON, and has to cost no more than one.
DECODE_ERRORS: Final = (msgspec.MsgspecError, RecursionError)
#: A whole string, or a mark that structures a document.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_OPENING: Final = (b'[', b'{')
_CLOSING: Final = (b']', b'}')


def split_members(body: bytes) -> list[bytes]:
    """Split an object or an array into its members, unread.

    Only strings and brackets are looked at, so that a member may be anything
    that has an end: also what no JSON reader takes, nested however deep.

    :param body: the document.
    :returns: its members as they came; of an object, each with its key.
    """
    members = [
        body[comma + 1 : end].strip()
        for comma, end in itertools.pairwise(_find_ends(body))
    ]
    return list(filter(None, members))


def _find_ends(body: bytes) -> list[int]:
    """Find the bracket around all, and the commas between members."""
    ends: list[int] = []
    depth = 0
    for token in _TOKEN.finditer(body):
        mark = token.group()
        depth += mark in _OPENING
        if depth == 1 and not mark.startswith(b'"'):
            ends.append(token.start())
        depth -= mark in _CLOSING
    return ends


def blank_unreadable(body: bytes) -> bytes:
    """Put ``null`` for each member that no JSON reader takes.

    :param body: an object; its fields that are arrays are mended within.
    :returns: the same with all that can be read.
    """
    fields = map(_blank_field, split_members(body))
    return b'{%b}' % b','.join(fields)


def _blank_field(field: bytes) -> bytes:
    key, _, raw = field.partition(b':')
    if not raw.strip().startswith(b'['):
        return b'%b:%b' % (key, _blank_member(raw))
    members = map(_blank_member, split_members(raw))
    return b'%b:[%b]' % (key, b','.join(members))


def _blank_member(raw: bytes) -> bytes:
    try:
        msgspec.json.decode(raw)
    except DECODE_ERRORS:
        return b'null'
    return raw

"""Splitting of JSON documents into members without decoding them."""

import itertools
import re
from typing import Final

import msgspec

#: Errors of decoding. Nesting beyond the interpreter's recursion limit raises
#: no JSON error, but is handled like one.
DECODE_ERRORS: Final = (msgspec.MsgspecError, RecursionError)
#: A complete string, or a structural character.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_OPENING: Final = (b'[', b'{')
_CLOSING: Final = (b']', b'}')


def split_members(body: bytes) -> list[bytes]:
    """Split an object or an array into its undecoded members.

    Only strings, brackets and commas are scanned, so members may be invalid
    JSON or nested to any depth.

    :param body: the document.
    :returns: the raw members; those of an object include their keys.
    """
    members = [
        body[comma + 1 : end].strip()
        for comma, end in itertools.pairwise(_find_ends(body))
    ]
    return list(filter(None, members))


def _find_ends(body: bytes) -> list[int]:
    """Find the offsets of the outer brackets and of top-level commas."""
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
    """Replace each member that cannot be decoded by ``null``.

    :param body: a JSON object; in fields that are arrays, single elements are
        replaced.
    :returns: the object with all members that can be decoded.
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

"""Names of what may crash a server: a request, and the parts of its prompt."""

import hashlib
from typing import Final

from dykemast._internal.models.caller_request import CallerRequest

#: With 2^96 values, a digest cannot be made to collide with that of another
#: request, and 24 characters are short enough for logs and gossip.
DIGEST_BYTES: Final = 12
_LENGTH_BYTES: Final = 8
#: Prefix of the names of parts, which no digest of a request has.
PART_PREFIX: Final = 'part-'
#: Longest key of a part that is its name; a longer one is shortened to a
#: digest.
MAX_KEY_CHARACTERS: Final = 32
#: Parts of one prompt that are named. A caller may declare thousands.
MAX_NAMED_PARTS: Final = 32


def digest_request(
    request: CallerRequest,
    workspace: str,
    body: bytes,
) -> str:
    """Compute the digest of a request.

    The digest covers what a backend server runs, and for which workspace. It
    excludes the caller's request id, its timeout and the key that it used.

    :param request: the request.
    :param workspace: name of the workspace; empty on a public route.
    :param body: body of the request.
    :returns: 24 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    texts = (request.method, request.host, request.target, workspace)
    for part in (*(text.encode() for text in texts), body):
        # The length prefix keeps part boundaries unambiguous.
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()


def name_part(key: str) -> str:
    """Name a part of prompts as a suspect.

    :param key: hash of the part, as a caller declares it.
    :returns: the name; safe in the path of a store object.
    """
    is_name = key.isascii() and key.isalnum()
    if len(key) > MAX_KEY_CHARACTERS or not is_name:
        digest = hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES)
        key = digest.hexdigest()
    return f'{PART_PREFIX}{key}'


def is_part(name: str) -> bool:
    """Tell whether a suspect is a part of prompts.

    :param name: name of the suspect.
    :returns: whether it is; False for the digest of a request.
    """
    return name.startswith(PART_PREFIX)


class RequestIdentity:
    """The digest of one request, computed on first use.

    A digest takes 8 us for a body of 1 KB and 35 us for 12 KB (means of
    20,000). Requests incur this only while any request is a suspect.

    :param request: the request.
    :param workspace: name of the workspace; empty on a public route.
    :param body: body of the request.
    """

    def __init__(
        self,
        request: CallerRequest,
        workspace: str,
        body: bytes,
    ) -> None:
        """Keep the parts that the digest covers."""
        self._request = request
        self._covered = (request, workspace, body)
        self._digest = ''
        self._part_names: tuple[str, ...] | None = None

    def compute_digest(self) -> str:
        """Return the digest, computing it on first use.

        :returns: the same digest for every repeat of the request.
        """
        if not self._digest:
            self._digest = digest_request(*self._covered)
        return self._digest

    def list_part_names(self) -> tuple[str, ...]:
        """List the parts of its prompt that other requests may share.

        The last part belongs to the request or its session alone.

        :returns: names, without repeats, in the order of the prompt.
        """
        if self._part_names is None:
            *shared, _ = self._request.prompt or ((),)
            shared = shared[:MAX_NAMED_PARTS]
            names = dict.fromkeys(name_part(part.key) for part in shared)
            self._part_names = tuple(names)
        return self._part_names

    def list_names(self) -> tuple[str, ...]:
        """List all that a crash under the request may be attributed to.

        :returns: its digest, then the parts of its prompt.
        """
        return (self.compute_digest(), *self.list_part_names())

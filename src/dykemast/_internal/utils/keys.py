"""Keys of callers and operators, of which only hashes are stored."""

import hashlib
import hmac

from starlette.datastructures import Headers


def hash_bearer(headers: Headers) -> str:
    """Hash the bearer key of a request.

    :param headers: of the request.
    :returns: hexadecimal SHA-256 digest; that of an empty key when there is
        none.
    """
    key = headers.get('authorization', '').removeprefix('Bearer ')
    return hashlib.sha256(key.encode('utf-8', 'replace')).hexdigest()


def digests_match(digest: str, known: str) -> bool:
    """Compare two digests in constant time.

    :param digest: digest of the key that was sent.
    :param known: digest from the configuration.
    :returns: whether they are equal.
    """
    return hmac.compare_digest(digest, known)

"""Short digests by which two processes see that they know the same."""

import zlib
from collections.abc import Iterable


def digest_texts(texts: Iterable[str]) -> int:
    """Digest texts in any order.

    :param texts: the texts.
    :returns: a number of 32 bits; 0 for none.
    """
    return zlib.crc32('\n'.join(sorted(texts)).encode())

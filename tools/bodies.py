"""Bodies that callers send."""

import json
import random
from types import MappingProxyType
from typing import Final

#: Branches that callers speak for.
BRANCHES: Final = 20
#: Tokens that answers have, at least and below.
LENGTHS: Final = (5, 60)
#: Where each kind of request goes.
PATHS: Final = MappingProxyType(
    {'chat': '/v1/chat/completions', 'call': '/services/orders/new'}
)


def make_body(kind: str, chance: random.Random) -> bytes:
    """Make the body of a request.

    :param kind: ``chat`` or ``call``.
    :param chance: source of randomness.
    :returns: the body.
    """
    if kind == 'call':
        return b'one pallet'
    branch = chance.randrange(BRANCHES)
    length = chance.randrange(*LENGTHS)
    prompt = f'branch {branch} asks stop={length}'
    return json.dumps(
        {
            'model': 'tiny-1',
            'stream': True,
            'max_tokens': 64,
            'messages': [{'role': 'user', 'content': prompt}],
        }
    ).encode()

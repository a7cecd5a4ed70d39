"""Spread of duties over routers by rendezvous hashing.

The keeper of a duty is only a hint: what arbitrates is the conditional
update. Two routers that both believe they keep a shard cost one conflict.
"""

import hashlib
from collections.abc import Iterable


def hash_text(text: str) -> int:
    """Hash a text the same way on every router.

    :param text: any text.
    :returns: a number of 64 bits.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def choose_owner(duty: str, routers: Iterable[str]) -> str | None:
    """Choose the router that should keep a duty.

    :param duty: name of the duty, e.g. of a shard object.
    :param routers: names of the routers that are thought to be up.
    :returns: one of the names, or nothing when there is none.
    """
    ranked = rank_owners(duty, routers)
    return ranked[0] if ranked else None


def rank_owners(duty: str, routers: Iterable[str]) -> list[str]:
    """Rank the routers that could keep a duty.

    :param duty: name of the duty.
    :param routers: names of the routers that are thought to be up.
    :returns: the names, best first.
    """
    return sorted(
        routers,
        key=lambda name: hash_text(f'{duty}|{name}'),
        reverse=True,
    )


def choose_shard(key: str, count: int) -> int:
    """Choose the shard that a key belongs to.

    :param key: any text.
    :param count: how many shards there are.
    :returns: number of the shard, from 0.
    """
    return hash_text(key) % count

"""Assignment of keys to owners by rendezvous hashing.

Ownership is only a hint; conditional updates in the store arbitrate. Two
routers that both consider themselves the owner of a shard cost one conflict.
"""

import hashlib
from collections.abc import Iterable


def hash_text(text: str) -> int:
    """Compute a hash that is the same on every router.

    :param text: any text.
    :returns: an unsigned integer of 64 bits.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def choose_owner(key: str, candidates: Iterable[str]) -> str | None:
    """Choose the owner of a key.

    :param key: the key, such as the name of a shard object.
    :param candidates: names of the live candidates.
    :returns: name of the owner; None without candidates.
    """
    ranked = rank_owners(key, candidates)
    return ranked[0] if ranked else None


def rank_owners(key: str, candidates: Iterable[str]) -> list[str]:
    """Rank the candidates for the ownership of a key.

    :param key: the key.
    :param candidates: names of the live candidates.
    :returns: the names, the owner first.
    """
    return sorted(
        candidates,
        key=lambda name: hash_text(f'{key}|{name}'),
        reverse=True,
    )


def choose_shard(key: str, count: int) -> int:
    """Choose the shard that a key belongs to.

    :param key: any text.
    :param count: number of shards.
    :returns: index of the shard, from 0.
    """
    return hash_text(key) % count

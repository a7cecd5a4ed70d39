"""Encoding of ledger intents and acknowledgements between routers."""

from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from dykemast._internal.models.budgets import (
    BudgetAck,
    LeaseIntent,
    ReclaimIntent,
    TopupIntent,
)
from dykemast._internal.models.journal import Entry, JournalAck

_KINDS: Final = (LeaseIntent, ReclaimIntent, TopupIntent, Entry)
_NUMBERS: Final = MappingProxyType(
    {kind: number for number, kind in enumerate(_KINDS)}
)


class _Pair(NamedTuple):
    kind: int
    fields: Any


def encode_intents(intents: list[Any]) -> bytes:
    """Encode intents, each with the number of its kind.

    :param intents: intents for one ledger.
    :returns: a JSON array.
    """
    pairs = [(_NUMBERS[intent.__class__], intent) for intent in intents]
    return msgspec.json.encode(pairs)


def encode_acks(acks: list[Any]) -> bytes:
    """Encode acknowledgements.

    :param acks: acknowledgements of one ledger.
    :returns: a JSON array.
    """
    return msgspec.json.encode(acks)


def decode_intents(body: bytes) -> list[Any]:
    """Decode intents of any ledger.

    :param body: JSON array made by :func:`encode_intents`.
    :returns: the intents.
    """
    return [
        msgspec.convert(pair.fields, type=_KINDS[pair.kind])
        for pair in msgspec.json.decode(body, type=list[_Pair])
    ]


def decode_budget_acks(body: bytes) -> list[Any]:
    """Decode acknowledgements of a budget shard.

    :param body: JSON array made by :func:`encode_acks`.
    :returns: the acknowledgements.
    """
    return msgspec.json.decode(body, type=list[BudgetAck])


def decode_journal_acks(body: bytes) -> list[Any]:
    """Decode acknowledgements of a journal shard.

    :param body: JSON array made by :func:`encode_acks`.
    :returns: the acknowledgements.
    """
    return msgspec.json.decode(body, type=list[JournalAck])

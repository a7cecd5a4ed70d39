"""Conversion of peer cards to and from thrift structs."""

from importlib import resources
from typing import Any, Final

import thriftpy2

from dykemast._internal.blackboard import PeerView
from dykemast._internal.models.fleet import PeerCard


def load_idl(name: str) -> Any:
    """Load an interface definition as a module.

    :param name: name of the file without its suffix.
    :returns: the module.
    """
    path = resources.files(__package__) / f'{name}.thrift'
    with path.open() as source:
        return thriftpy2.load_fp(source, f'{name}_thrift')


#: Module generated from the interface definition.
peer_thrift: Final = load_idl('peer')


def pack_view(view: PeerView) -> Any:
    """Convert a peer's card to its thrift struct.

    :param view: the card and its heartbeat count.
    :returns: a ``Card``.
    """
    return peer_thrift.Card(beat=view.beat, **view.card._asdict())


def unpack_card(card: Any) -> PeerCard:
    """Convert a thrift struct to a peer's card.

    :param card: a ``Card``.
    :returns: the card, without the heartbeat count.
    """
    return PeerCard(**{name: getattr(card, name) for name in PeerCard._fields})

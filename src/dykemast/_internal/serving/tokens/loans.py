"""Loans of a budget's tokens between routers."""

import asyncio
import collections
import random
from typing import Any, Final

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.serving.tokens.accounts import (
    NEVER,
    Account,
    record_loan,
)
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('loans')

#: Peers asked for spare tokens at once.
MAX_LENDERS: Final = 6


async def borrow_tokens(
    gossip: Gossip,
    peers: list[PeerCard],
    account: Account,
) -> None:
    """Ask peers for the tokens that requests wait for.

    Peers are asked concurrently, since one may be slow or unreachable; excess
    tokens serve the next requests here.

    :param gossip: calls peers.
    :param peers: cards of the live peers.
    :param account: the budget.
    """
    lenders = choose_lenders(peers, account)
    missing = account.pending - account.allowance.count_available()
    if missing > 0:
        backpressure = (
            ask_lender(gossip, card, account, missing) for card in lenders
        )
        await asyncio.gather(*backpressure)


def choose_lenders(peers: list[PeerCard], account: Account) -> list[PeerCard]:
    """Choose peers that may have spare tokens, those with most first.

    These are routers with rows of their own, and those that this one lent
    tokens to. A new owner of a budget knows neither, so it asks random peers.

    :param peers: cards of the live peers.
    :param account: the budget.
    :returns: their cards.
    """
    rows = account.ledger.rows.values() if account.ledger else ()
    spare = collections.Counter(account.net_lent)
    for row in rows:
        spare[row.instance] += row.count_spare()
    lenders = random.sample(peers, len(peers))
    lenders.sort(key=lambda card: -spare[card.instance])
    return lenders[:MAX_LENDERS]


async def return_tokens(
    gossip: Gossip,
    card: PeerCard,
    account: Account,
    tokens: int,
) -> None:
    """Return unused tokens to a peer.

    :param gossip: calls peers.
    :param card: the peer.
    :param account: the budget.
    :param tokens: number of tokens.
    """
    # Before the call: the peer may spend them before its answer arrives.
    given = account.allowance.lend(tokens)
    if not given:
        return
    words = (account.workspace, given, account.identity.instance)
    try:
        taken = await gossip.call(card, 'take_back', *words)
    except PeerError as error:
        # The peer may have accepted them, so they must not be spent here.
        _log('loan_not_returned', peer=card.instance, reason=str(error))
        return
    account.allowance.borrowed += given - taken
    record_loan(account, card.instance, taken)
    _log(
        'tokens_returned',
        workspace=account.workspace,
        peer=card.instance,
        tokens=taken,
    )


async def ask_lender(
    gossip: Gossip,
    card: PeerCard,
    account: Account,
    missing: int,
    spare: int = 0,
) -> bool:
    """Ask one peer for tokens.

    :param gossip: calls peers.
    :param card: the peer.
    :param account: the budget.
    :param missing: number of tokens that requests wait for.
    :param spare: number of spare tokens requested beyond these.
    :returns: whether it answered.
    """
    try:
        given = await gossip.call(
            card,
            'lend',
            account.workspace,
            missing,
            account.identity.instance,
            spare,
        )
    except PeerError as error:
        # If the peer lent tokens and its answer was lost, the tokens are
        # lost rather than used twice.
        _log('loan_failed', peer=card.instance, reason=str(error))
        return False
    account.allowance.borrowed += given
    record_loan(account, card.instance, -given)
    if given:
        account.received_at = read_clock()
    _log(
        'tokens_borrowed' if given else 'nothing_to_borrow',
        workspace=account.workspace,
        peer=card.instance,
        tokens=given,
        missing=missing,
    )
    return True


def describe_loans(account: Account) -> dict[str, Any]:
    """Build the log fields of a router's last attempts to borrow.

    :param account: the budget.
    :returns: the router that it asked as the owner, and the seconds since
        then and since a loan brought tokens; None for never.
    """
    return {
        'asked': account.asked or None,
        'asked_s': _count_seconds_since(account.asked_at),
        'received_s': _count_seconds_since(account.received_at),
    }


def _count_seconds_since(at: float) -> float | None:
    return None if at == NEVER else round(read_clock() - at, 3)

"""Borrow spare tokens of a budget from other routers."""

import asyncio

from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.serving.accounts import Account
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.utils.events import make_logger

_log = make_logger('loans')


async def borrow_tokens(gossip: Gossip, account: Account) -> None:
    """Ask peers for the tokens that requests wait for.

    All are asked at once, since one may be slow or cut off; what comes in
    excess is of use to the next requests here.

    :param gossip: calls peers.
    :param account: the budget.
    """
    lenders = gossip.list_lenders(account.ledger)
    missing = account.pending - account.allowance.count_room()
    if not lenders or missing <= 0:
        return

    async def ask(card: PeerCard) -> None:
        given = await gossip.borrow(card, account.workspace, missing)
        account.allowance.usage.borrowed += given
        _log(
            'tokens_borrowed',
            workspace=account.workspace,
            peer=card.instance,
            tokens=given,
            missing=missing,
        )

    await asyncio.gather(*(ask(card) for card in lenders))

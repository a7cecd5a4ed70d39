"""Loans of a budget's tokens between routers."""

import asyncio
import collections
import random
from typing import Final, NamedTuple

from dykemast._internal.exceptions import (
    InvalidDataError,
    PeerError,
    UnknownCallError,
)
from dykemast._internal.models.fleet import (
    LoanAnswer,
    LoanRequest,
    PeerCard,
)
from dykemast._internal.serving.tokens.accounts import (
    NEVER,
    Account,
    record_loan,
)
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('loans')

#: Time for which a search waits for the answer to a request.
ANSWER_WAIT_S: Final = 0.4
#: Time after which an answer counts as lost: on a full link it takes seconds.
LOAN_TIMEOUT_S: Final = 3.0
#: Peers asked for spare tokens at once.
MAX_LENDERS: Final = 6


class Needed(NamedTuple):
    """Tokens to ask a peer for.

    :param missing: number of tokens that requests wait for.
    :param spare: number of spare tokens beyond these.
    :param as_owner: whether the peer is asked as the budget's owner.
    """

    missing: int
    spare: int = 0
    as_owner: bool = False


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
        needed = Needed(missing)
        asked = (ask_lender(gossip, card, account, needed) for card in lenders)
        await asyncio.gather(*asked)


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
    needed: Needed,
) -> bool:
    """Ask one peer for tokens, unless it has not answered the last time yet.

    :param gossip: calls peers.
    :param card: the peer.
    :param account: the budget.
    :param needed: tokens to ask for.
    :returns: whether it answered soon; a later answer brings tokens as well.
    """
    loan = account.loans.get(card.incarnation)
    if loan is None:
        loan = asyncio.create_task(_borrow(gossip, card, account, needed))
        account.loans[card.incarnation] = loan
    await asyncio.wait((loan,), timeout=ANSWER_WAIT_S)
    return loan.done() and loan.result()


async def _borrow(
    gossip: Gossip,
    card: PeerCard,
    account: Account,
    needed: Needed,
) -> bool:
    asked_at = read_clock()
    try:
        given = await _request_loan(gossip, card, account, needed)
    except (InvalidDataError, PeerError) as error:
        _log('loan_failed', peer=card.instance, reason=str(error))
        return False
    finally:
        account.loans.pop(card.incarnation)
        if needed.as_owner:
            account.answer_s = read_clock() - asked_at
    account.allowance.borrowed += given
    record_loan(account, card.instance, -given)
    if given:
        account.received_at = read_clock()
    _log(
        'tokens_borrowed' if given else 'nothing_to_borrow',
        workspace=account.workspace,
        peer=card.instance,
        tokens=given,
        missing=needed.missing,
    )
    return True


async def _request_loan(
    gossip: Gossip,
    card: PeerCard,
    account: Account,
    needed: Needed,
) -> int:
    """Request a loan.

    :returns: number of tokens that the answer brings.
    """
    request = LoanRequest(
        workspace=account.workspace,
        missing=needed.missing,
        spare=needed.spare,
        borrower=account.identity.instance,
        incarnation=account.identity.incarnation,
        lender=card.incarnation,
        received=account.totals.count_received(card.incarnation),
        as_owner=needed.as_owner,
    )
    try:
        body = await gossip.call(
            card, 'borrow', pack(request), timeout=LOAN_TIMEOUT_S
        )
    except UnknownCallError:
        # A router of the previous build.
        words = (request.workspace, request.missing, request.borrower)
        older: int = await gossip.call(card, 'lend', *words, request.spare)
        return older
    answer = unpack(body, LoanAnswer)
    if needed.as_owner:
        account.owner_cut_off_at = read_clock() if answer.store_away else NEVER
    return account.totals.accept(answer.lender, answer.total)

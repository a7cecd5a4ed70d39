"""Processor time and bytes of one more thing."""

import random
import time
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

import msgspec
from thriftpy2.utils import serialize

from dykemast._internal.models.budgets import Budget, TopupIntent
from dykemast._internal.network import ledger_codec, peer_codec
from dykemast._internal.operations import (
    journal_merge,
    peers,
    routing,
    worker_load,
)
from dykemast._internal.operations.budget_shard import apply_intent
from dykemast._internal.operations.news import choose_cards
from tools import slope_worlds as worlds

#: Things of each kind that are made.
COUNT: Final = 5000
#: Workers, routers and workspaces at the size to design for.
WORKERS: Final = 840
ROUTERS: Final = 410
WORKSPACES: Final = 1200
_TIMES: Final = 100
_NOW: Final = 1000
_MICROSECONDS: Final = 1_000_000
PROCESSOR: Final = 'us of processor'
STORED: Final = 'bytes stored'


class Slope(NamedTuple):
    """Cost of one more thing.

    :param of: the thing.
    :param unit: of the cost.
    :param each: the cost.
    """

    of: str
    unit: str
    each: float


def time_leases() -> Iterator[Slope]:
    """Measure leases."""
    budget = apply_intent(Budget(), TopupIntent('b', 't', COUNT**2)).budget
    lease_registry = worlds.make_book(COUNT)

    def renew() -> None:
        for plan in lease_registry.plan_renewals(bool, _NOW, 1):
            ack = apply_intent(budget, plan).ack
            lease_registry.apply_ack(ack._replace(budget=plan.budget), _NOW)

    yield Slope('renewal of one lease', PROCESSOR, clock(renew, COUNT))


def weigh_leases() -> Iterator[Slope]:
    """Measure what leases take on the way and in the platform."""
    budget = apply_intent(Budget(), TopupIntent('b', 't', COUNT**2)).budget
    plans = worlds.make_book(COUNT).plan_renewals(bool, _NOW, 1)
    size = len(ledger_codec.encode_intents(plans)) / COUNT
    shard = {plan.budget: apply_intent(budget, plan).budget for plan in plans}
    stored = len(msgspec.json.encode(shard)) / COUNT
    yield Slope('intent of one lease', 'bytes sent', size)
    yield Slope('budget with one lease', STORED, stored)


def time_journal() -> Iterator[Slope]:
    """Measure bills."""
    entries = worlds.make_entries(COUNT)

    def merge() -> None:
        journal_merge.merge_batch({}, entries)

    size = len(msgspec.json.encode(entries)) / COUNT
    yield Slope('merge of one bill', PROCESSOR, clock(merge, COUNT))
    yield Slope('one bill', STORED, size)


def time_news() -> Iterator[Slope]:
    """Measure the exchange among routers."""
    fleet = worlds.make_fleet(ROUTERS)
    views = choose_cards(fleet, 1, random.Random(1))
    # Its own card goes along.
    views.append(views[0])
    cards = [peer_codec.pack_view(view) for view in views]
    news = peer_codec.peer_thrift.Gossip(cards=cards, leaving=[])

    def note() -> None:
        for beat in range(COUNT):
            peers.record_card(fleet, views[0].card, beat, 2)

    yield Slope('card taken in', PROCESSOR, clock(note, COUNT))
    yield Slope('news to one peer', 'bytes sent', len(serialize(news)))


def time_routing() -> Iterator[Slope]:
    """Measure the choice of a worker."""
    candidates = worlds.make_candidates(WORKERS)
    ranking = worker_load.RankingContext('hall-1', COUNT, 2)
    chance = random.Random(1)

    def rank() -> None:
        for _ in range(_TIMES):
            routing.rank_workers(candidates, ranking, chance)

    name = f'choice among {WORKERS} workers'
    yield Slope(name, PROCESSOR, clock(rank, _TIMES))


def clock(run: Callable[[], None], count: int) -> float:
    """Measure the processor time of one of many things.

    :param run: does all of them.
    :param count: how many.
    :returns: microseconds for each.
    """
    started = time.process_time()
    run()
    return _MICROSECONDS * (time.process_time() - started) / count

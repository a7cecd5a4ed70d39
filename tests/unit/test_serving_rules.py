"""Rules of ``dykemast instance`` that need no input or output."""

from dykemast._internal.models.caller_request import PromptPart
from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations.own_loads import OwnLoads
from dykemast._internal.operations.peer_loads import PeerLoads
from dykemast._internal.operations.prompt_caches import PromptCache
from dykemast._internal.operations.prompt_caches import PromptCaches
from dykemast._internal.operations.retry_budget import RetryBudget
from dykemast._internal.operations.server_choice import (
    EngineOption,
    ServiceOption,
    choose_cheapest,
    compute_engine_cost,
    compute_plain_cost,
)
from dykemast._internal.operations.server_health import ServerHealth
from dykemast._internal.serving.relay.event_parser import (
    EventParser,
    parse_event_id,
)


def test_events_are_passed_on_whole_only() -> None:
    parser = EventParser()
    assert not parser.feed(b'id: 1\nda')
    assert parser.feed(b'ta: x\n\nid: 2') == [b'id: 1\ndata: x\n\n']
    assert parser.has_partial_event()
    assert parser.feed(b'\n\n') == [b'id: 2\n\n']
    assert not parser.has_partial_event()
    assert parse_event_id(b'id: 17\ndata: id: 3\n\n') == '17'
    assert not parse_event_id(b'data: x\n\n')


def test_all_routers_together_keep_the_allowance_for_retries() -> None:
    spent = 0
    for _ in range(6):
        allowance = RetryBudget(0.2, 52, 10)
        for _ in range(10):
            allowance.record_request(0)
        spent += sum(allowance.consume(1, 6) for _ in range(100))
    assert 0 < spent <= 0.2 * 60 + 52
    assert allowance.consume(20, 6), 'the window slides'


def test_a_prompt_part_is_of_use_after_those_before_it_only() -> None:
    cache = PromptCache(100)
    first, second = PromptPart('a', 60), PromptPart('b', 30)
    cache.record_prompt([first, second])
    assert cache.count_cached([first, second]) == 90
    assert not cache.count_cached([PromptPart('x', 5), second])
    cache.record_prompt([PromptPart('c', 50)])
    assert not cache.count_cached([first]), 'the oldest part is evicted'


def choose_engine(options: list[EngineOption]) -> str | None:
    return choose_cheapest(options, compute_engine_cost, float)


def choose_plain(options: list[ServiceOption]) -> str | None:
    return choose_cheapest(options, compute_plain_cost, float)


def make_engine(name: str, **fields) -> EngineOption:
    return EngineOption(
        **{
            'server': name,
            'running': 0,
            'slots': 8,
            'unread': 0,
            'uncached': 1000,
            'uncached_shared': 0,
            'tokens_per_event': 3,
            'pause_risk': 0,
            'health': 1,
            **fields,
        }
    )


def test_an_engine_that_keeps_the_prompt_is_chosen_unless_it_is_busy() -> None:
    fresh = make_engine('fresh')
    assert choose_engine([fresh, make_engine('keeps', uncached=10)]) == (
        'keeps'
    )
    busy = make_engine('keeps', uncached=10, unread=5000)
    assert choose_engine([fresh, busy]) == 'fresh'
    full = make_engine('keeps', uncached=10, running=8)
    assert choose_engine([fresh, full]) == 'fresh'
    assert choose_engine([]) is None


def test_shared_parts_are_prefilled_at_few_engines() -> None:
    keeps = make_engine('keeps', uncached=0, unread=1500)
    idle = make_engine('idle', uncached=1000, uncached_shared=1000)
    assert choose_engine([idle, keeps]) == 'keeps'


def test_a_plain_server_that_fails_is_left_alone() -> None:
    good = ServiceOption('good', 3, 6, same_hall=False, health=1)
    grey = ServiceOption('grey', 0, 6, same_hall=True, health=0.1)
    assert choose_plain([good, grey]) == 'good'


def test_health_drops_at_once_and_recovers_slowly() -> None:
    trust = ServerHealth()
    for tenth in range(4):
        trust.record_outcome('s', tenth / 10, failed=True)
    assert trust.get_score('s', 0) < 1 / 3
    assert trust.get_score('s', 30) > 1 / 2
    assert round(trust.get_score('other', 4), 3) == 1


def test_loads_of_peers_count_while_they_are_fresh() -> None:
    peers = PeerLoads()
    peers.merge('p', (ServerLoad('s', 3, 700),), 10)
    assert peers.get_load('s', 11) == ServerLoad('s', 3, 700)
    assert peers.get_load('s', 13) == ServerLoad('s', 0, 0)


def test_own_loads_forget_what_has_ended() -> None:
    own = OwnLoads()
    own.begin('s', 500)
    own.begin('s', 100)
    own.end_prefill('s', 500)
    own.end('s')
    assert own.get_load('s') == ServerLoad('s', 1, 100)
    own.end_prefill('s', 100)
    own.end('s')
    assert not own.export_all()


def test_state_of_unlisted_servers_is_dropped() -> None:
    # Each incarnation has a new name, so kept state would grow without bound.
    caches, trust = PromptCaches(), ServerHealth()
    for server in ('gone', 'there'):
        caches.record_sent(server, [PromptPart('a', 60)], 100, 0)
        trust.record_outcome(server, 0, failed=True)
    caches.keep_only(['there'])
    trust.keep_only(['there'])
    assert not caches.count_cached('gone', [PromptPart('a', 60)])
    assert caches.count_cached('there', [PromptPart('a', 60)]) == 60
    assert trust.get_score('gone', 0) == 1
    assert trust.get_score('there', 0) < 1

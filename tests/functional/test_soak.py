"""A short soak: the seeds that failed once, and a fixed one."""

from pathlib import Path

from tests.soak import run

SEEDS = Path(run.__file__).parent / 'seeds.txt'
FIXED_SEED = 8
FOREIGN_SEED = 1_000_003
OVERSPENT_SEED = 611136
#: The same, at a service with one server that a slow question is always at.
ONE_SERVER_SEED = 2_000_010
#: A request that ends servers, routers that sleep and a loss of all of them.
CRASH_SEED = 2_000_001
#: Halls that are emptied and taken back, and servers that turn cold.
HALL_SEED = 3_000_001

#: All servers name a limit, and routers are killed and stopped beside it.
ASK_SEED = 4_000_005


def read_seeds() -> list[int]:
    words = [line.split() for line in SEEDS.read_text().splitlines()]
    return [int(found[0]) for found in words if found[0].isdigit()]


def check_seed(seed: int) -> None:
    broken = run.run_seed(seed).broken
    assert not broken, (seed, broken)


def test_seeds_that_failed_once_keep_the_promises() -> None:
    for seed in read_seeds():
        check_seed(seed)


def test_a_fixed_seed_keeps_the_promises() -> None:
    check_seed(FIXED_SEED)


def test_a_seed_with_foreign_entries_keeps_the_promises() -> None:
    check_seed(FOREIGN_SEED)


def test_a_seed_with_a_slow_link_does_not_overspend() -> None:
    # With one silent link and three planned stops 60,111 of 60,000 tokens were
    # consumed, and 60,114 in a replay (three of seven plays): callers left in
    # the silence, and what the engine made then was not charged; see
    # test_unread_events, which shows it each time.
    check_seed(OVERSPENT_SEED)


def test_a_seed_with_crashing_requests_keeps_the_promises() -> None:
    check_seed(CRASH_SEED)


def test_a_seed_with_halls_that_are_emptied_keeps_the_promises() -> None:
    check_seed(HALL_SEED)


def test_a_seed_with_servers_that_ask_keeps_the_promises() -> None:
    check_seed(ASK_SEED)


def test_a_seed_with_one_server_quarantines_no_other_request() -> None:
    # Service was not back: 119 of 496 served, as two slow questions that are
    # always under way beside the request that ends the server were quarantined
    # by what the store keeps; see test_crash_news.
    check_seed(ONE_SERVER_SEED)

"""Entry answers for hosts whose routes have homes."""

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.news import Strain
from dykemast._internal.operations.entry_choice import EntryOption, keep_homes


def make_option(port: int, region: str) -> EntryOption:
    return EntryOption(Endpoint('h', port), Strain(), region)


def test_entry_answers_stay_at_home_while_a_router_is_there() -> None:
    here, there = make_option(1, 'home'), make_option(2, 'abroad')
    both = [here, there]
    homes = [frozenset(('home',))]
    assert keep_homes(both, homes, 'home') == [here]
    assert keep_homes(both, homes, 'abroad') == both
    assert keep_homes(both, [], 'home') == both
    assert keep_homes([there], homes, 'home') == [there]

"""Entry answers for hosts whose routes have allowed regions."""

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.gossip import RouterLoad
from dykemast._internal.operations.entry_choice import (
    EntryOption,
    filter_by_region,
)


def make_option(port: int, region: str) -> EntryOption:
    return EntryOption(Endpoint('h', port), RouterLoad(), region)


def test_entry_answers_stay_in_allowed_regions_with_routers() -> None:
    here, there = make_option(1, 'home'), make_option(2, 'abroad')
    both = [here, there]
    allowed_regions = [frozenset(('home',))]
    assert filter_by_region(both, allowed_regions, 'home') == [here]
    assert filter_by_region(both, allowed_regions, 'abroad') == both
    assert filter_by_region(both, [], 'home') == both
    assert filter_by_region([there], allowed_regions, 'home') == [there]

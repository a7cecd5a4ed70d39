"""Each broken rule is one that stands in the source."""

from tools.mutants import count_places
from tools.mutations import MUTATIONS


def test_what_a_mutation_replaces_stands_once() -> None:
    wrong = [one.name for one in MUTATIONS if count_places(one) != 1]
    assert not wrong

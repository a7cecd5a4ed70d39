"""Of requests that ends do not tell apart, one alone is at the only server."""

from contextlib import ExitStack

from hypothesis import given
from hypothesis import strategies as st

from tests.lib.identities import make_identity
from tests.lib.trial_world import ROUTERS, Requests, list_begun, make_all

REQUESTS = tuple(make_identity(target=f'/{name}') for name in 'abcd')
PRESENT = st.sets(st.sampled_from(REQUESTS)).map(tuple)


def find_common(first: Requests, last: Requests) -> set[str]:
    common = set(first).intersection(last)
    return {one.compute_digest() for one in common}


@given(st.tuples(PRESENT, PRESENT), st.permutations(REQUESTS).map(tuple))
def test_of_those_that_were_at_both_ends_one_alone_is_at_the_server(
    ends: tuple[Requests, Requests], asked: Requests
) -> None:
    with ExitStack() as stack:
        begun = list_begun(stack, make_all(ends=ends), asked)
    suspects = find_common(*ends)
    on_trial = [name for name in begun if name in suspects]
    if len(suspects) > 1:
        assert len(on_trial) == 1
    else:
        assert len(on_trial) == ROUTERS * len(suspects)
    innocent = len(REQUESTS) - len(suspects)
    assert len(begun) == len(on_trial) + ROUTERS * innocent

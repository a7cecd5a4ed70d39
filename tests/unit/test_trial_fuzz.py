"""One suspect of the same crashes at a time runs on the only server."""

from contextlib import ExitStack

from hypothesis import given
from hypothesis import strategies as st

from tests.lib.identities import make_identity
from tests.lib.trial_world import ROUTERS, Requests, list_admitted, make_routers

REQUESTS = tuple(make_identity(target=f'/{name}') for name in 'abcd')
SUSPECTS = st.sets(st.sampled_from(REQUESTS)).map(tuple)


def find_common(first: Requests, last: Requests) -> set[str]:
    common = set(first).intersection(last)
    return {one.compute_digest() for one in common}


@given(st.tuples(SUSPECTS, SUSPECTS), st.permutations(REQUESTS).map(tuple))
def test_one_suspect_of_both_crashes_runs_at_a_time(
    crash_suspects: tuple[Requests, Requests], asked: Requests
) -> None:
    with ExitStack() as stack:
        admitted = list_admitted(
            stack, make_routers(crash_suspects=crash_suspects), asked
        )
    suspects = find_common(*crash_suspects)
    on_trial = [name for name in admitted if name in suspects]
    if len(suspects) > 1:
        assert len(on_trial) == 1
    else:
        assert len(on_trial) == ROUTERS * len(suspects)
    innocent = len(REQUESTS) - len(suspects)
    assert len(admitted) == len(on_trial) + ROUTERS * innocent

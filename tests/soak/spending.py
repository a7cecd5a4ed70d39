"""What runs have spent of the prepaid budget."""

from collections.abc import Iterable, Iterator

from tests.soak.seen import Run, Witness

TOKENS_PER_EVENT = 1


def count_spent(witness: Witness) -> int:
    """Count the tokens that servers read, once a request, and made."""
    return count_tokens(list_runs(witness))


def count_tokens(runs: Iterable[Run]) -> int:
    """Count the tokens that some runs read and made."""
    prompts: dict[str, int] = {}
    events = 0
    for run in runs:
        declared = run['headers'].get('x-token-usage')
        if declared:
            prompts[run['id']] = int(declared.partition(',')[0])
            events += run.get('events', 0)
    return sum(prompts.values()) + events * TOKENS_PER_EVENT


def list_runs(witness: Witness) -> Iterator[Run]:
    """List the runs of all servers."""
    for runs in witness.runs.values():
        yield from runs

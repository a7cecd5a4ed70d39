"""Gauges of this router's state, for its log and its metrics."""

from dykemast._internal.operations.request_identity import is_part
from dykemast._internal.serving.knowledge.cache_freshness import compute_ages
from dykemast._internal.serving.knowledge.cold_servers import is_cold
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.utils.clock import read_clock


def describe_state(parts: Parts) -> dict[str, float]:
    """Collect the gauges of this router's state.

    :param parts: parts of the program.
    :returns: values by name.
    """
    board = parts.board
    now = read_clock()
    unavailable_since = board.store_unavailable_since
    return {
        'inflight': board.inflight,
        'configuration': board.get_version(),
        'servers': len(board.servers),
        'peers_heard': sum(1 for _ in list_live_peers(board)),
        'store_away_s': round(now - unavailable_since, 1)
        if unavailable_since
        else 0,
        'store_era': board.store_era,
        'halls_emptied': len(board.evacuations.halls),
        'servers_cold': sum(
            is_cold(board, name, now) for name in board.cold_until
        ),
        'servers_limited': sum(
            board.backpressure.limits.find(name) is not None
            for name in board.servers
        ),
        'servers_resting': sum(
            board.backpressure.get_backoff(name, now) > 0
            for name in board.servers
        ),
        'servers_leaving': len(board.leaving),
        'servers_without_link': len(board.links.broken),
        'services_without_link': len(board.links.isolated_since),
        'tunnels': board.tunnels,
        'streams_unwritten': board.origins.changes
        - board.origins.written_changes,
        'loop_failures': board.loops.failures,
        'loops_failing': len(board.loops.list_failing(now)),
        'loop_late_s': round(board.watch.measure_lateness(now), 3),
        'admission_limit': board.admission_limit.describe(now)['limit'] or 0,
        **_count_loans(parts.budgets),
        **_count_suspects(board),
        **_collect_ages(board),
    }


def _count_loans(budgets: Budgets) -> dict[str, int]:
    """Count the tokens that were transferred between routers."""
    allowances = [one.allowance for one in budgets.accounts.values()]
    return {
        'tokens_lent': sum(one.lent for one in allowances),
        'tokens_borrowed': sum(one.borrowed for one in allowances),
    }


def _count_suspects(board: ServingBoard) -> dict[str, int]:
    """Count the requests and the parts of prompts that may crash servers."""
    suspected = list(board.crashes.crash_sequences)
    quarantined = list(board.crashes.quarantines)
    suspected_parts = sum(map(is_part, suspected))
    quarantined_parts = sum(map(is_part, quarantined))
    return {
        'requests_suspected': len(suspected) - suspected_parts,
        'requests_quarantined': len(quarantined) - quarantined_parts,
        'prompt_parts_suspected': suspected_parts,
        'prompt_parts_quarantined': quarantined_parts,
    }


def _collect_ages(board: ServingBoard) -> dict[str, float]:
    """Collect the ages of cached data, in seconds, by kind of object."""
    ages = compute_ages(board)
    return {f'age_s_{kind}': round(age, 3) for kind, age in ages.items()}

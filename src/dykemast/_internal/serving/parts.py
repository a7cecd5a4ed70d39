"""Components that the handling of a request shares."""

from functools import partial
from typing import NamedTuple

from dykemast._internal.operations import (
    retry_budget,
    server_health,
    shared_rate_limiter,
)
from dykemast._internal.serving.knowledge import backpressure, origin_search
from dykemast._internal.serving.members.stream_replication import (
    StreamReplication,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.state.loads import Loads
from dykemast._internal.serving.state.monitoring import Metrics, make_metrics
from dykemast._internal.serving.sending import (
    send_checks,
    server_paths,
    upstream,
)
from dykemast._internal.utils.clock import read_clock


class Parts(NamedTuple):
    """Components that the handling of a request shares.

    :param board: the blackboard.
    :param budgets: holds tokens.
    :param loads: requests at backend servers.
    :param trust: health scores of backend servers.
    :param retries: retry budgets by service.
    :param upstreams: connections to backend servers.
    :param paths: direct links to backend servers, and tunnels through peers.
    :param turns: shared rate limiter for servers with a rate limit.
    :param origins: finds where streams began that callers take up.
    :param replicas: replicates where streams began to other routers.
    :param metrics: counters and histograms.
    """

    board: ServingBoard
    budgets: Budgets
    loads: Loads
    trust: server_health.ServerHealth
    retries: dict[str, retry_budget.RetryBudget]
    upstreams: upstream.Upstreams
    paths: server_paths.ServerPaths
    turns: shared_rate_limiter.SharedRateLimiter
    origins: origin_search.OriginSearch
    replicas: StreamReplication
    metrics: Metrics


def make_parts(
    board: ServingBoard,
    budgets: Budgets,
    loads: Loads,
    replicas: StreamReplication,
    origins: origin_search.OriginSearch,
) -> Parts:
    """Make the components.

    :param board: the blackboard.
    :param budgets: holds tokens.
    :param loads: requests at backend servers.
    :param replicas: replicates where streams began to other routers.
    :param origins: finds where streams began.
    :returns: the components.
    """
    paths = server_paths.ServerPaths(board)
    return Parts(
        board=board,
        budgets=budgets,
        loads=loads,
        trust=server_health.ServerHealth(),
        retries={},
        upstreams=upstream.Upstreams(
            partial(send_checks.check_send, board),
            partial(backpressure.record_backpressure, board),
            paths,
        ),
        paths=paths,
        turns=shared_rate_limiter.SharedRateLimiter(
            board.settings.name, read_clock()
        ),
        origins=origins,
        replicas=replicas,
        metrics=make_metrics(),
    )

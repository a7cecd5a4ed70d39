"""Metrics in the Prometheus text format."""

from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from dykemast._internal.blackboard import Blackboard


class Metrics(NamedTuple):
    """Metrics of one router.

    :param registry: registry that holds all metrics.
    :param refusals: refusals by code.
    :param first_byte: seconds until the start of a response.
    :param inflight: requests in progress.
    :param kept_bills: bills not yet written to the journal.
    """

    registry: Registry
    refusals: Counter
    first_byte: Histogram
    inflight: Gauge
    kept_bills: Gauge


def make_metrics() -> Metrics:
    """Make the metrics of a router.

    :returns: the metrics, all at zero.
    """
    registry = Registry()
    return Metrics(
        registry,
        Counter('dykemast_refusals', 'By code.', registry=registry),
        Histogram('dykemast_first_byte_seconds', 'Time.', registry=registry),
        Gauge('dykemast_inflight', 'In progress.', registry=registry),
        Gauge('dykemast_kept_bills', 'Not written yet.', registry=registry),
    )


def render_metrics(metrics: Metrics, board: Blackboard, kept: int) -> bytes:
    """Render the metrics in the Prometheus text format.

    :param metrics: the metrics; the gauges are updated.
    :param board: the blackboard, source of the gauge values.
    :param kept: bills not yet written to the journal.
    :returns: the text.
    """
    metrics.inflight.set({}, board.traffic.inflight)
    metrics.kept_bills.set({}, kept)
    text, _ = render(metrics.registry, ['text/plain'])
    return text

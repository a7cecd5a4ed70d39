"""Metrics of a router."""

from typing import Final, NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

#: Upper bounds of histogram buckets in seconds, around the latency objectives.
_BUCKETS: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15)


class Metrics(NamedTuple):
    """Metrics of one router.

    :param registry: all of them.
    :param requests: finished requests, by route kind and outcome.
    :param refusals: refusals by code.
    :param sends: sends to backend servers, by service and outcome.
    :param cold_sends: sends to servers that were cold, by service.
    :param limited_sends: sends to servers with a rate limit, by service.
    :param resumed_streams: streams that went on at another send, by whether the
        router or the caller resumed them.
    :param first_byte: seconds until an answer began.
    :param duration: seconds until an answer was complete.
    :param tokens: tokens held and consumed.
    :param store_calls: calls to the store by kind.
    :param gauges: state at the time of the request for metrics.
    """

    registry: Registry
    requests: Counter
    refusals: Counter
    sends: Counter
    cold_sends: Counter
    limited_sends: Counter
    resumed_streams: Counter
    first_byte: Histogram
    duration: Histogram
    tokens: Counter
    store_calls: Counter
    gauges: Gauge


def make_metrics() -> Metrics:
    """Make the metrics, all at zero.

    :returns: the metrics.
    """
    registry = Registry()

    def count(name: str, text: str) -> Counter:
        return Counter(f'dykemast_{name}', text, registry=registry)

    def time(name: str, text: str) -> Histogram:
        return Histogram(
            f'dykemast_{name}_seconds',
            text,
            registry=registry,
            buckets=_BUCKETS,
        )

    return Metrics(
        registry,
        count('requests_total', 'Requests ended.'),
        count('refusals_total', 'Refusals by code.'),
        count('sends_total', 'Sends to backend servers.'),
        count('cold_sends_total', 'Sends to cold backend servers.'),
        count('limited_sends_total', 'Sends to servers that named a limit.'),
        count('resumed_streams_total', 'Streams that were resumed.'),
        time('first_byte', 'Time until an answer began.'),
        time('whole', 'Time until an answer was whole.'),
        count('tokens_total', 'Tokens held and consumed.'),
        count('store_calls_total', 'Calls to the store.'),
        Gauge('dykemast_state', 'State of this router.', registry=registry),
    )


def render_metrics(metrics: Metrics, state: dict[str, float]) -> bytes:
    """Render the metrics in the Prometheus text format.

    :param metrics: the metrics.
    :param state: gauges by name.
    :returns: the text.
    """
    for name, amount in state.items():
        metrics.gauges.set({'of': name}, amount)
    text, _ = render(metrics.registry, ['text/plain'])
    return text

"""Choice of a backend server from current loads, caches and health."""

import random
from collections.abc import Iterable

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.server_choice import (
    EngineOption,
    ServiceOption,
    choose_cheapest,
    compute_engine_cost,
    compute_plain_cost,
    count_delaying_tokens,
)
from dykemast._internal.operations.prompt_caches import choose_prefix_owner
from dykemast._internal.serving.choice.candidates import (
    choose_isolated,
    list_available,
    list_untried,
    record_choice,
)
from dykemast._internal.serving.state.loads import compute_load
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock


def choose_server(
    parts: Parts,
    admitted: AdmittedRequest,
    tried: Iterable[str],
    isolate_key: str = '',
) -> BackendServer | None:
    """Choose a backend server.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param tried: names of servers that it was sent to before.
    :param isolate_key: name of the request, or of a part of its prompt, if it
        is suspected to crash servers; empty otherwise.
    :returns: a server; None if none is available.
    """
    usable = list_available(
        parts, admitted, list_untried(parts, admitted, tried)
    )
    server = _choose(parts, admitted, usable, isolate_key)
    if server:
        record_choice(parts, admitted, server)
    return server


def _choose(
    parts: Parts,
    admitted: AdmittedRequest,
    usable: list[BackendServer],
    isolate_key: str,
) -> BackendServer | None:
    if isolate_key:
        return choose_isolated(usable, isolate_key)
    if admitted.service.engine:
        prefix_owner = choose_prefix_owner(
            admitted.request.prompt, (one.name for one in usable)
        )
        engines = [
            _make_engine_option(parts, admitted, one, prefix_owner)
            for one in usable
        ]
        name = choose_cheapest(engines, compute_engine_cost, random.random)
    else:
        plain = [_make_plain_option(parts, one) for one in usable]
        name = choose_cheapest(plain, compute_plain_cost, random.random)
    return parts.board.servers[name] if name else None


def count_uncached(parts: Parts, admitted: AdmittedRequest, server: str) -> int:
    """Count the prompt tokens that an engine has to prefill.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param server: id of the engine.
    :returns: tokens.
    """
    request = admitted.request
    cached = parts.loads.caches.count_cached(server, request.prompt)
    return max(0, request.prompt_tokens - cached)


def _count_uncached_shared(
    parts: Parts, admitted: AdmittedRequest, server: str
) -> int:
    # The last part belongs to the request or its session alone.
    shared = admitted.request.prompt[:-1]
    total = sum(part.tokens for part in shared)
    return total - parts.loads.caches.count_cached(server, shared)


def _make_engine_option(
    parts: Parts,
    admitted: AdmittedRequest,
    server: BackendServer,
    prefix_owner: str | None,
) -> EngineOption:
    name = server.name
    load = compute_load(parts.loads, name, read_clock())
    option = EngineOption(
        server=name,
        running=load.running,
        slots=server.slots,
        unread=load.unread,
        uncached=count_uncached(parts, admitted, name),
        uncached_shared=0
        if name == prefix_owner
        else _count_uncached_shared(parts, admitted, name),
        tokens_per_event=admitted.service.get_tokens_per_event(),
        pause_risk=0,
        health=parts.trust.get_score(name, read_clock()),
    )
    return _add_pause_risk(parts, option)


def _add_pause_risk(parts: Parts, option: EngineOption) -> EngineOption:
    unread = option.unread + option.uncached
    if not count_delaying_tokens(unread, option.tokens_per_event):
        return option
    risk = parts.loads.pauses.estimate_risk(option.server, read_clock())
    return option._replace(pause_risk=risk)


def _make_plain_option(parts: Parts, server: BackendServer) -> ServiceOption:
    now = read_clock()
    return ServiceOption(
        server=server.name,
        running=compute_load(parts.loads, server.name, now).running,
        slots=server.slots,
        same_hall=server.hall == parts.board.settings.hall,
        health=parts.trust.get_score(server.name, now),
    )

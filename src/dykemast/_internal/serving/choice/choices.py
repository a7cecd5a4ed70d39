"""Choose the backend server of a request from what is known now."""

import random
from collections.abc import Iterable

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.server_choice import (
    EngineOption,
    ServiceOption,
    choose_cheapest,
    cost_engine,
    cost_plain,
    count_harmful,
)
from dykemast._internal.operations.prompt_caches import choose_prefix_owner
from dykemast._internal.serving.choice.candidates import (
    choose_apart,
    list_open,
    list_untried,
    note_chosen,
)
from dykemast._internal.serving.state.loads import compute_load
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock


def choose_server(
    parts: Parts,
    admitted: AdmittedRequest,
    tried: Iterable[str],
    apart: str = '',
) -> BackendServer | None:
    """Choose a backend server.

    :param parts: parts of the program.
    :param admitted: the request.
    :param tried: servers that had it before.
    :param apart: its digest, when a server has ended under it.
    :returns: a server, or nothing when there is none left.
    """
    usable = list_open(parts, admitted, list_untried(parts, admitted, tried))
    server = _choose(parts, admitted, usable, apart)
    if server:
        note_chosen(parts, admitted, server)
    return server


def _choose(
    parts: Parts,
    admitted: AdmittedRequest,
    usable: list[BackendServer],
    apart: str,
) -> BackendServer | None:
    if apart:
        return choose_apart(usable, apart)
    if admitted.service.engine:
        home = choose_prefix_owner(
            admitted.request.prompt, (one.name for one in usable)
        )
        engines = [_weigh_engine(parts, admitted, one, home) for one in usable]
        name = choose_cheapest(engines, cost_engine, random.random)
    else:
        plain = [_weigh_plain(parts, one) for one in usable]
        name = choose_cheapest(plain, cost_plain, random.random)
    return parts.board.servers[name] if name else None


def count_uncached(parts: Parts, admitted: AdmittedRequest, server: str) -> int:
    """Count the prompt tokens that an engine would have to read.

    :param parts: parts of the program.
    :param admitted: the request.
    :param server: id of the engine.
    :returns: tokens.
    """
    request = admitted.request
    kept = parts.loads.caches.count_cached(server, request.prompt)
    return max(0, request.prompt_tokens - kept)


def _count_missing_shared(
    parts: Parts, admitted: AdmittedRequest, server: str
) -> int:
    # The last part is the request's own, or its session's.
    shared = admitted.request.prompt[:-1]
    total = sum(part.tokens for part in shared)
    return total - parts.loads.caches.count_cached(server, shared)


def _weigh_engine(
    parts: Parts,
    admitted: AdmittedRequest,
    server: BackendServer,
    home: str | None,
) -> EngineOption:
    name = server.name
    load = compute_load(parts.loads, name, read_clock())
    option = EngineOption(
        server=name,
        running=load.running,
        slots=server.slots,
        unread=load.unread,
        missing=count_uncached(parts, admitted, name),
        missing_shared=0
        if name == home
        else _count_missing_shared(parts, admitted, name),
        tokens_per_event=admitted.service.get_tokens_per_event(),
        pause_risk=0,
        trust=parts.trust.get_score(name, read_clock()),
    )
    return _add_pause_risk(parts, option)


def _add_pause_risk(parts: Parts, option: EngineOption) -> EngineOption:
    unread = option.unread + option.missing
    if not count_harmful(unread, option.tokens_per_event):
        return option
    risk = parts.loads.pauses.estimate_risk(option.server, read_clock())
    return option._replace(pause_risk=risk)


def _weigh_plain(parts: Parts, server: BackendServer) -> ServiceOption:
    now = read_clock()
    return ServiceOption(
        server=server.name,
        running=compute_load(parts.loads, server.name, now).running,
        slots=server.slots,
        near=server.hall == parts.board.settings.hall,
        trust=parts.trust.get_score(server.name, now),
    )

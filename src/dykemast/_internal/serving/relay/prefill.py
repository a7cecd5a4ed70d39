"""Prefill of prompts by engines."""

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock


def record_prompt(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> None:
    engine = admitted.service.engine
    parts.loads.caches.record_sent(
        server.name,
        admitted.request.prompt,
        engine.cache_tokens if engine else 0,
        read_clock(),
    )


class Prefill:
    """The prefill of one prompt by an engine, which ends once."""

    def __init__(self, parts: Parts, server: str, unread: int) -> None:
        self._loads = parts.loads.own
        self._server = server
        self._unread = unread
        self._loads.begin(server, unread)

    def end(self) -> None:
        """Record the end of the prefill; later calls do nothing."""
        self._loads.end_prefill(self._server, self._unread)
        self._unread = 0

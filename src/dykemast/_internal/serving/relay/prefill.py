"""Prefill of prompts by engines."""

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock


def record_prompt(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> None:
    """Record a prompt that its engine has cached from now on.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param server: the server of the engine.
    """
    engine = admitted.service.engine
    parts.loads.caches.record_sent(
        server.name,
        admitted.request.prompt,
        engine.cache_tokens if engine else 0,
        read_clock(),
    )


class Prefill:
    """The prefill of one prompt by an engine, which ends once.

    :param parts: shared components of the process.
    :param server: incarnation name of the server.
    :param uncached: tokens of the prompt that the engine has to prefill.
    """

    def __init__(self, parts: Parts, server: str, uncached: int) -> None:
        self._loads = parts.loads.own
        self._server = server
        self._uncached = uncached
        self._loads.begin(server, uncached)

    def end(self) -> None:
        """Record the end of the prefill; later calls do nothing."""
        self._loads.end_prefill(self._server, self._uncached)
        self._uncached = 0

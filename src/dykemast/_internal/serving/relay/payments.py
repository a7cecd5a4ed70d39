"""Tokens of one request: held before it is sent, charged when it has ended."""

from dykemast._internal.operations.stream_usage import StreamUsage
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.tokens.holds import Hold
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')


class Payment:
    """What one request holds of its workspace's budget, if that has one.

    :param parts: parts of the program.
    :param admitted: the request.
    """

    def __init__(self, parts: Parts, admitted: AdmittedRequest) -> None:
        """Hold nothing yet."""
        self._parts = parts
        self._admitted = admitted
        self._holds: list[Hold] = []
        request = admitted.request
        self.usage = StreamUsage(
            request.prompt_tokens,
            request.output_tokens,
            admitted.service.get_tokens_per_event(),
        )

    async def hold(self) -> None:
        """Hold what the request may consume; what is held already counts.

        :raises RefusedError: when there are not as many tokens.
        """
        workspace = self._admitted.workspace
        if workspace is None or workspace.prepaid is None:
            return
        held = sum(one.tokens for one in self._holds)
        missing = self.usage.count_max_tokens() - held
        if missing <= 0:
            return
        priority = self._admitted.route.priority
        more = await self._parts.budgets.hold(workspace, missing, priority)
        self._holds.append(more)
        self._parts.metrics.tokens.add({'state': 'held'}, missing)

    async def hold_for_retry(self) -> None:
        """Hold what one more engine may make of an answer that broke off.

        :raises RefusedError: when there are not as many tokens; it has run,
            so that it is not refused as one that has not.
        """
        try:
            await self.hold()
        except RefusedError as error:
            details = {'reason': error.code.name, **error.details}
            raise RefusedError(RefusalCode.upstream_failed, details) from error

    def settle(self) -> None:
        """Charge what was consumed, and let the rest go."""
        used = self.usage.count_used_tokens()
        left = used
        for held in self._holds:
            charged = min(left, held.tokens)
            self._parts.budgets.settle(held, charged)
            left -= charged
        if self._holds:
            self._parts.metrics.tokens.add({'state': 'consumed'}, used)
            self._log_settled(used)

    def _log_settled(self, used: int) -> None:
        # What a row in the store does not know yet when its router dies.
        _log(
            'settled',
            request=self._admitted.request.request_id,
            workspace=self._holds[0].workspace,
            held=sum(one.tokens for one in self._holds),
            consumed=used,
        )

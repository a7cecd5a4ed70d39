"""Tokens of one request: held before each send, charged at the end."""

from dykemast._internal.operations.stream_usage import StreamUsage
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.tokens.accounts import Hold
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')


class Payment:
    """The tokens that one request holds of its workspace's budget, if any.

    :param parts: shared components of the process.
    :param admitted: the request.
    """

    def __init__(self, parts: Parts, admitted: AdmittedRequest) -> None:
        """Create a payment without held tokens."""
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
        """Hold the tokens that the request may still consume.

        :raises RefusedError: when the budget does not cover them.
        """
        workspace = self._admitted.workspace
        if workspace is None or workspace.prepaid is None:
            return
        held = sum(one.tokens for one in self._holds)
        missing = self.usage.count_max_tokens() - held
        if missing <= 0:
            return
        priority = self._admitted.route.priority
        new_hold = await self._parts.budgets.hold(workspace, missing, priority)
        self._holds.append(new_hold)
        self._parts.metrics.tokens.add({'state': 'held'}, missing)

    async def hold_for_retry(self) -> None:
        """Hold the tokens that a retry on another engine may consume.

        :raises RefusedError: when the budget does not cover them. The refusal
            says that the request has run.
        """
        try:
            await self.hold()
        except RefusedError as error:
            details = {'reason': error.code.name, **error.details}
            raise RefusedError(RefusalCode.upstream_failed, details) from error

    def settle(self) -> None:
        """Charge the consumed tokens and release the rest."""
        used = self.usage.count_used_tokens()
        remaining = used
        for held in self._holds:
            charged = min(remaining, held.tokens)
            self._parts.budgets.settle(held, charged)
            remaining -= charged
        if self._holds:
            self._parts.metrics.tokens.add({'state': 'consumed'}, used)
            self._log_settled(used)

    def _log_settled(self, used: int) -> None:
        # If the router fails, the row in the store does not include these
        # tokens yet.
        _log(
            'settled',
            request=self._admitted.request.request_id,
            workspace=self._holds[0].workspace,
            held=sum(one.tokens for one in self._holds),
            consumed=used,
        )

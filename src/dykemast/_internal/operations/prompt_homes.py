"""Which engine should read a shared part of a prompt first."""

from collections.abc import Iterable, Sequence

from dykemast._internal.models.caller_request import PromptPart
from dykemast._internal.operations.rendezvous import choose_keeper


def find_home(
    prompt: Sequence[PromptPart],
    servers: Iterable[str],
) -> str | None:
    """Find the engine that should read the shared parts of a prompt.

    All routers find the same one without telling each other, so that a part
    which several of them meet at once is read by one engine.

    :param prompt: parts in order; the last is the request's own, or its
        session's.
    :param servers: ids of the engines that take requests.
    :returns: id of an engine; None when no part is shared.
    """
    shared = prompt[:-1]
    if not shared:
        return None
    return choose_keeper(shared[-1].key, servers)

"""One request of a caller, decoded."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """One part of a prompt.

    :param key: equal for equal parts.
    :param tokens: its length.
    """

    key: str
    tokens: int


class CallerRequest(NamedTuple):
    """One request of a caller.

    :param request_id: chosen by the caller, fresh for each attempt.
    :param method: HTTP method.
    :param host: host name, without a port.
    :param path: path, decoded.
    :param target: path and query as they were sent.
    :param key: the caller's key; empty when there is none.
    :param timeout_s: seconds that the caller will wait.
    :param headers: fields to be passed on.
    :param prompt_tokens: declared length of the prompt; 0 for none.
    :param output_tokens: most tokens to come out; 0 for none.
    :param prompt: parts of the prompt in order.
    :param last_event_id: last event that the caller has; empty for none.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    key: str
    timeout_s: float | None
    headers: tuple[tuple[str, str], ...]
    prompt_tokens: int
    output_tokens: int
    prompt: tuple[PromptPart, ...]
    last_event_id: str

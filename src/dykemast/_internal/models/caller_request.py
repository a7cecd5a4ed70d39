"""A decoded request of a caller."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """One part of a prompt.

    :param key: hash of the part; equal for equal parts.
    :param tokens: length in tokens.
    """

    key: str
    tokens: int


class CallerRequest(NamedTuple):
    """A request of a caller.

    :param request_id: chosen by the caller, unique for each attempt.
    :param method: HTTP method.
    :param host: host name, without a port.
    :param path: path, decoded.
    :param target: path and query as sent.
    :param key: the caller's key; empty when there is none.
    :param timeout_s: seconds that the caller waits; None when not given.
    :param headers: header fields to forward.
    :param prompt_tokens: declared length of the prompt; 0 for none.
    :param output_tokens: declared bound of output tokens; 0 for none.
    :param prompt: parts of the prompt in order.
    :param last_event_id: Last-Event-ID of a resumed stream; empty for none.
    :param first_request_id: id of the request that brought the first event of
        the stream that this one resumes; empty for none.
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
    first_request_id: str = ''

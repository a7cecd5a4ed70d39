"""Names and contents of header fields."""

from typing import Final

#: Id of a caller's attempt; each retry by the caller has a new one.
ATTEMPT_ID: Final = 'x-attempt-id'
#: Milliseconds until the deadline.
DEADLINE: Final = 'x-deadline-ms'
#: ``Token KEY``: the caller's key.
AUTHORIZATION: Final = 'authorization'
KEY_SCHEME: Final = 'token '
#: Name of the workspace that is billed.
WORKSPACE: Final = 'x-tenant'
#: Id of the intended backend server.
EXPECTED_SERVER: Final = 'x-expect-instance'
#: Priority for an engine, 0 (highest) to 9.
PRIORITY: Final = 'x-request-priority'
#: Last event that was received; a resumed stream continues after it.
LAST_EVENT: Final = 'last-event-id'
#: Id of the caller's attempt that brought the first event of the stream that
#: this request resumes.
RESUMES: Final = 'resumes'
#: ``PROMPT,OUTPUT``: prompt tokens and maximum output tokens, as declared by
#: the caller; not the actual usage.
TOKENS: Final = 'x-token-usage'
#: ``KEY:TOKENS,...``: parts of the prompt in order; not a hash of the prompt.
PROMPT: Final = 'x-prefix-hash'
#: Name of the requested model.
MODEL: Final = 'x-model'
#: The caller's estimate of the number of output tokens.
LENGTH_HINT: Final = 'x-length-hint'
#: Milliseconds for which an engine may delay its response to a router.
WAIT: Final = 'wait-ms'
#: Signature of the backend server that responded.
SIGNATURE: Final = 'x-response-seal'
#: Present when the backend server did not run the request.
NOT_RUN: Final = 'x-not-executed'
#: Requests per second, a decimal number, that the backend server accepts from
#: all routers together; valid as long as its responses carry it.
LIMIT: Final = 'server-limit'
#: ``1``: the backend server is about to shut down.
LEAVING: Final = 'server-leaving'
BRITTLE: Final = 'server-brittle'
#: Seconds, possibly fractional; in a 503 response of a backend server the
#: backoff that it requests from this router.
RETRY_AFTER: Final = 'retry-after'
#: Era of the object store, a whole number; in each of its answers.
STORE_ERA: Final = 'store-era'

#: First path segments of the calls by which routers control engines.
ENGINE_CALLS: Final = frozenset(
    (
        'hold-drop',
        'hold-take',
        'kv-events',
        'kv-handle',
        'kv-list',
        'kv-move',
        'kv-pin',
        'report',
    )
)
#: Not forwarded: those of RFC 9110, and others that HTTP clients send.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Fields that only routers send to backend servers. When a caller sets one, it
#: is meant for the router and not forwarded.
OWN_FIELDS: Final = frozenset(
    (
        'host',
        AUTHORIZATION,
        DEADLINE,
        EXPECTED_SERVER,
        LAST_EVENT,
        PRIORITY,
        WAIT,
        WORKSPACE,
    )
)
#: Fields of a caller that backend servers interpret.
CALLER_FIELDS: Final = frozenset(
    (
        ATTEMPT_ID,
        LENGTH_HINT,
        MODEL,
        PROMPT,
        TOKENS,
    )
)
#: Prefixes of the fields that control backend servers: caching, transfer,
#: reservation, priority and preconditions. Prefixes also exclude control fields
#: that this router does not know.
CONTROL_FAMILIES: Final = (
    'kv',
    'x-deadline',
    'x-expect',
    'x-hold',
    'x-kv',
    'x-pin',
    'x-request-priority',
)

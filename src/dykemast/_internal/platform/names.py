"""Names of header fields, with what each holds."""

from typing import Final

#: Id of a caller's attempt; a repeat by the caller has another one.
ATTEMPT_ID: Final = 'x-attempt-id'
#: Milliseconds that are left.
DEADLINE: Final = 'x-deadline-ms'
#: ``Token KEY``: the caller's key.
AUTHORIZATION: Final = 'authorization'
KEY_SCHEME: Final = 'token '
#: Name of the workspace that spends.
WORKSPACE: Final = 'x-tenant'
#: Id of the backend server that is meant.
EXPECTED_SERVER: Final = 'x-expect-instance'
#: Urgency for an engine, 0 to 9, 0 first.
PRIORITY: Final = 'x-request-priority'
#: Last event that is there already; a stream goes on after it.
LAST_EVENT: Final = 'last-event-id'
#: ``PROMPT,OUTPUT``: tokens of the prompt and most tokens to come out; a
#: declaration, not a report.
TOKENS: Final = 'x-token-usage'
#: ``KEY:TOKENS,...``: parts of the prompt in order; no hash of the whole.
PROMPT: Final = 'x-prefix-hash'
#: Name of the model that is asked.
MODEL: Final = 'x-model'
#: The caller's guess of how many tokens come out.
LENGTH_HINT: Final = 'x-length-hint'
#: Milliseconds for which an engine may hold a call of a router.
WAIT: Final = 'wait-ms'
#: Signature of the backend server that answered.
SIGNATURE: Final = 'x-response-seal'
#: Says that the backend server did not run the request.
NOT_RUN: Final = 'x-not-executed'
#: Requests a second, a decimal number, that the backend server that answered
#: takes from all routers together, for as long as its answers say so.
LIMIT: Final = 'server-limit'
#: ``1``: the backend server that answered is about to end.
LEAVING: Final = 'server-leaving'
#: Seconds, fractions too; in a 503 of a backend server the time for which it
#: wants nothing from this router.
RETRY_AFTER: Final = 'retry-after'

#: First segments of the calls by which routers steer engines.
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
#: Fields that only a router says to a backend server; what a caller says
#: there is for the router.
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
#: Fields by which a caller may mean something to a backend server.
CALLER_FIELDS: Final = frozenset(
    (
        ATTEMPT_ID,
        LENGTH_HINT,
        MODEL,
        PROMPT,
        TOKENS,
    )
)
#: First words of the fields that steer backend servers: what an engine
#: keeps, moves, sets aside, admits first or insists on. Whole families, so
#: that one which this router does not know is no caller's either.
CONTROL_FAMILIES: Final = (
    'kv',
    'x-deadline',
    'x-expect',
    'x-hold',
    'x-kv',
    'x-pin',
    'x-request-priority',
)

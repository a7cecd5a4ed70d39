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
#: Signature of the backend server that answered.
SIGNATURE: Final = 'x-response-seal'
#: Says that the backend server did not run the request.
NOT_RUN: Final = 'x-not-executed'

#: Fields that concern one connection only.
HOP_FIELDS: Final = frozenset(
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
#: Fields of a caller that this router sets itself.
OWN_FIELDS: Final = frozenset(
    (
        'host',
        AUTHORIZATION,
        DEADLINE,
        EXPECTED_SERVER,
        PRIORITY,
        WORKSPACE,
    )
)

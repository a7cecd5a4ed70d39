"""What callers ask for."""

import random
import re
import uuid
from typing import Any, NamedTuple

from tests.lib.users_objects import HOST, KEY
from tests.soak.exchange import Answer, Request

PROMPT = 'aa:120,bb:80'
PROMPT_TOKENS = 200
#: Paths, and how often they are asked for.
PLAIN_PATHS = (
    ('/order/1', 5),
    ('/price/1', 5),
    ('/new/1', 3),
    ('/order/slow', 1),
    ('/price/slow', 1),
    ('/stream/', 7),
)
#: Events of streams, and how often they are asked for.
STREAM_EVENTS = ((12, 6), (80, 2), (250, 1))
STREAMS = 9
LONG_TIME = 3.9
#: Seconds after which callers leave who leave midway.
LEAVE_TIMES = (0.02, 0.6)
OK = 200
_EVENT = re.compile(rb'id: (\d+)\ndata: [^\n]*\n\n')


class Payer(NamedTuple):
    """Who pays for the requests of a caller.

    :param workspace: its name.
    :param key: its key.
    :param home: router that its callers prefer; empty for none.
    """

    workspace: str = 'joinville'
    key: str = KEY
    home: str = ''


#: The only one in most plans.
USUAL_PAYER = Payer()


def draw_request(chance: random.Random, leaving: float) -> Request:
    """Draw a request; a share of them is left midway."""
    path = _draw(chance, PLAIN_PATHS)
    leaves = chance.random() < leaving
    after = chance.uniform(*LEAVE_TIMES) if leaves else 0
    if path != '/stream/':
        return Request(path, leaves_after=after)
    events = _draw(chance, STREAM_EVENTS)
    path += str(chance.randrange(STREAMS))
    return Request(path, events, LONG_TIME, after)


def _draw(chance: random.Random, choices: tuple[tuple[Any, int], ...]) -> Any:
    options, weights = zip(*choices, strict=True)
    return chance.choices(options, weights)[0]


def make_fields(request: Request, key: str = KEY) -> dict[str, str]:
    """Make the header fields of one try."""
    fields = {
        'Host': HOST,
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Deadline-Ms': str(round(request.time_left * 1000)),
        'Authorization': f'Token {key}',
    }
    if request.events:
        fields['X-Token-Usage'] = f'{PROMPT_TOKENS},{request.events}'
        fields['X-Prefix-Hash'] = PROMPT
    if request.resumes:
        fields['Last-Event-Id'] = str(request.after)
        fields['Resumes'] = request.resumes
    return fields


def take_up(request: Request, answer: Answer, request_id: str) -> Request:
    """Make the next try of a stream go on where this one ended."""
    numbers = _EVENT.findall(answer.body) if request.events else []
    if not numbers or answer.status != OK:
        return request
    return request._replace(
        after=int(numbers[-1]), resumes=request.resumes or request_id
    )

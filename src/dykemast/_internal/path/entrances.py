"""Wait for a slot of a service, or refuse the request for load."""

import math
from typing import Final

from dykemast._internal.models.requests import Code, BackendRequest, Refusal
from dykemast._internal.operations.peers import list_owners
from dykemast._internal.path.admission import find_configuration
from dykemast._internal.path.candidates import list_candidates
from dykemast._internal.path.gates import Gate, count_slots
from dykemast._internal.path.jobs import Job
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.utils.clock import read_clock

#: Concurrent requests of one backend server, by default.
DEFAULT_SERVER_SLOTS: Final = 64
MAX_SLOT_WAIT_S: Final = 1.0


async def wait_for_slot(
    parts: Parts, job: Job, backend_request: BackendRequest
) -> None:
    """Wait for a slot of the service; the job releases it.

    :param parts: shared components of the router.
    :param job: the request.
    :param backend_request: the request to send.
    :raises RefusedError: when none is free in time.
    """
    gate = parts.gates.setdefault(backend_request.service, Gate())
    gate.slots = _count_slots(parts, backend_request)
    now = read_clock()
    timeout_s = min(MAX_SLOT_WAIT_S, job.context.deadline - now)
    if not await gate.enter(backend_request.priority, timeout_s):
        raise RefusedError(_refuse(gate, backend_request))
    entered = read_clock()
    job.on_release(lambda: gate.leave(read_clock() - entered))


def _count_slots(parts: Parts, backend_request: BackendRequest) -> int:
    services = find_configuration(parts.board)['services']
    slots = next(
        service.get('worker_slots', DEFAULT_SERVER_SLOTS)
        for service in services
        if service['name'] == backend_request.service
    )
    routers = list_owners(parts.board, read_clock())
    servers = list_candidates(parts, backend_request)
    return count_slots(len(servers), slots, len(routers))


def _refuse(gate: Gate, backend_request: BackendRequest) -> Refusal:
    wait = max(1, math.ceil(gate.estimate_wait(backend_request.priority)))
    text = f'All servers of {backend_request.service} are busy.'
    return Refusal(Code.too_busy, text, retry_after=wait)

"""Servers of two versions, and the streams that callers take up."""

import random
import re
import time
from collections.abc import Iterable, Iterator
from typing import Any

from tests.lib.deployment import Deployment
from tests.lib.users_objects import make_next_start
from tests.soak.faults import Fault
from tests.soak.requests import OK
from tests.soak.history import End, find_overlap
from tests.soak.seen import Seen, Witness
from tests.soak.sizes import Size

KIND = 'release'
ENGINES = 6
OLD, NEW = 'v1', 'v1.1'
#: Versions at the start. Two servers of each keep theirs.
VERSIONS = (
    ('engine-0', OLD),
    ('engine-1', OLD),
    ('engine-2', OLD),
    ('engine-3', NEW),
    ('engine-4', NEW),
    ('engine-5', NEW),
)
RELEASED = ('engine-2', 'engine-5')
KEPT = tuple(name for name, _ in VERSIONS if name not in RELEASED)
MOST_RELEASES = 3
BESIDE = ('kill', 'kill', 'kill_all', 'store', 'freeze', 'stop', 'server')
#: Streams that may hold events of two versions.
MOST_MIXED = 2
#: Streams that have to be taken up for their share to count, and the part of
#: the share of new streams that begin which has to go on.
LEAST_RESUMED = 12
LEAST_SHARE = 0.5
#: Faults that put routers out of touch, and seconds after which they are again.
APART = frozenset(('kill', 'kill_all', 'stop', 'freeze', 'link', 'store'))
CONTACT = 3.0
STREAM_PATH = '/stream/'
_EVENT = re.compile(rb'id: \d+\ndata: \S+ (\S+)\n\n')


def prepare(deployment: Deployment) -> None:
    """Have the engines run two versions."""
    deployment.versions = dict(VERSIONS)


def choose_size(size: Size) -> Size:
    """Choose a size with servers of two versions."""
    return size._replace(engines=max(ENGINES, size.engines))


def draw_versions(
    chance: random.Random, size: Size, last: float
) -> list[Fault]:
    """Draw releases, and what breaks streams beside them."""
    faults = [
        Fault(chance.uniform(0.5, last), KIND, chance.choice(RELEASED), '', 1)
        for _ in range(chance.randint(1, MOST_RELEASES))
    ]
    for kind in chance.sample(BESIDE, chance.randint(2, len(BESIDE))):
        faults.append(_draw_beside(chance, size, kind, last))
    return faults


def _draw_beside(
    chance: random.Random, size: Size, kind: str, last: float
) -> Fault:
    target, how = chance.choice(size.list_routers()), ''
    if kind == 'kill_all':
        target = 'routers'
    elif kind == 'store':
        target, how = kind, chance.choice(('away', 'silent', 'lose', 'slow'))
    elif kind == 'server':
        target, how = chance.choice(KEPT), 'cut'
    lasts = chance.uniform(0.3, 3)
    return Fault(chance.uniform(0.5, last), kind, target, how, lasts)


def stop_server(deployment: Deployment, server: str) -> dict[str, Any]:
    """End a server; its next start is of the other version.

    :returns: what it saw, which ends with its process.
    """
    before = deployment.versions[server]
    deployment.versions[server] = NEW if before == OLD else OLD
    told = deployment.control(server)
    deployment.processes.kill(server)
    for run in told['runs']:
        run['ended'] = run['ended'] or time.monotonic()
    return told


def start_server(deployment: Deployment, server: str, end: End) -> None:
    """Start a server again, and list it."""
    stored = deployment.read_object('servers', server)
    started = {**stored, 'version': deployment.versions[server]}
    deployment.control('store', put=[make_next_start(server, started)])
    deployment.start_server(server)
    end()


def find_mixed(witness: Witness) -> Iterator[str]:
    """Find whether streams hold events of two versions."""
    mixed = [
        versions
        for versions in map(_list_versions, _group(witness.seen))
        if len(versions) > 1
    ]
    if len(mixed) > MOST_MIXED:
        yield f'{len(mixed)} streams hold events of two versions'


def find_not_resumed(witness: Witness) -> Iterator[str]:
    """Find whether streams that are taken up go on far less than new begin."""
    asked = [one for one in witness.seen if _counts(witness, one)]
    resumed = [one for one in asked if one.resumes]
    new = [one for one in asked if not one.resumes]
    if len(resumed) < LEAST_RESUMED or not new:
        return
    went_on = sum(map(_has_events, resumed))
    begun = sum(map(_has_events, new))
    if went_on / len(resumed) < LEAST_SHARE * begun / len(new):
        yield f'{went_on} of {len(resumed)} streams that were taken up go on'


def _has_events(one: Seen) -> bool:
    return one.status == OK and bool(one.body)


def _group(seen: Iterable[Seen]) -> Iterable[list[Seen]]:
    """Group the tries of each stream."""
    streams: dict[str, list[Seen]] = {}
    for one in seen:
        if one.path.startswith(STREAM_PATH):
            first = one.resumes or one.request_id
            streams.setdefault(first, []).append(one)
    return streams.values()


def _list_versions(tries: list[Seen]) -> set[bytes]:
    return {version for one in tries for version in _EVENT.findall(one.body)}


def _counts(witness: Witness, one: Seen) -> bool:
    if not one.path.startswith(STREAM_PATH):
        return False
    targets = {*witness.routers, 'store', 'routers'}
    return not find_overlap(
        witness.events, APART, targets, one.at - CONTACT, one.ended
    )

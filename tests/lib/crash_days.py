"""Simulated days with server crashes, recorded in a crash table."""

import random
from typing import NamedTuple

from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.broken_sends import SUSPECT_WINDOW_S
from dykemast._internal.operations.crash_evidence import (
    clear_suspect,
    record_crash,
)
from dykemast._internal.operations.crash_review import review_suspects
from dykemast._internal.operations.crash_table import CrashTable

#: Seconds of a step, of a day, and until a server restarts.
STEP_S = 0.05
DAY_S = 60.0
DOWN_S = 3.0
SERVERS = 9
#: Routers review suspects every 0.2 s.
STEPS_PER_REVIEW = 4
#: Seconds until the first event of a run, and longest duration of a run.
FIRST_EVENT_S = 0.3
LONGEST_RUN_S = 5.0
SERVICE = 'llm'


class Day(NamedTuple):
    """Load and crashes of a simulated day.

    :param seed: seed of the random generator.
    :param asks: requests per second.
    :param hot: share of requests that are identical.
    :param deaths: server crashes per second that no request causes.
    :param losses: seconds between two losses of all servers; 0 for none.
    :param guilty: seconds between two sends of the crashing request; 0 for
        none.
    """

    seed: int
    asks: float = 40
    hot: float = 0.2
    deaths: float = 0
    losses: float = 0
    guilty: float = 0


class Run(NamedTuple):
    """A request that runs on a server."""

    request: str
    server: int
    sent_at: float
    ends_at: float


GUILTY = 'guilty'
#: Seconds from the send of a crashing request to the crash of its server.
CRASH_DELAY_S = 0.15


class CrashDay:
    """Simulation of a day; quarantined requests are not sent.

    :param day: load and crashes.
    """

    def __init__(self, day: Day) -> None:
        self._day = day
        self._chance = random.Random(day.seed)
        self.table = CrashTable()
        self._runs: list[Run] = []
        self._down_until = dict.fromkeys(range(SERVERS), float())
        self._starts = dict.fromkeys(range(SERVERS), 0)
        self.condemned: set[str] = set()
        self.guilty_ends = 0

    def play(self) -> 'CrashDay':
        for step in range(round(DAY_S / STEP_S)):
            now = step * STEP_S
            self._ask(now)
            self._end_runs(now)
            self._end_servers(now)
            if not step % STEPS_PER_REVIEW:
                self.condemned.update(review_suspects(self.table, now))
        return self

    def _ask(self, now: float) -> None:
        chance = self._chance
        if chance.random() < self._day.asks * STEP_S:
            is_hot = chance.random() < self._day.hot
            name = 'hot' if is_hot else f'request-{chance.random()}'
            lasts = chance.uniform(FIRST_EVENT_S, LONGEST_RUN_S)
            self._send(name, now, lasts)
        if self._day.guilty and now % self._day.guilty < STEP_S:
            self._send(GUILTY, now, CRASH_DELAY_S)

    def _send(self, request: str, now: float, lasts: float) -> None:
        up = [one for one, until in self._down_until.items() if until <= now]
        if up and request not in self.table.quarantines:
            server = self._chance.choice(up)
            self._runs.append(Run(request, server, now, now + lasts))

    def _end_runs(self, now: float) -> None:
        for begun in self._runs:
            if FIRST_EVENT_S + SUSPECT_WINDOW_S < now - begun.sent_at:
                clear_suspect(self.table, begun.request, now)
        over = [one for one in self._runs if one.ends_at <= now]
        for run in over:
            if run.request == GUILTY and run in self._runs:
                self.guilty_ends += 1
                self._end_server(run.server, now)
            elif run in self._runs:
                self._runs.remove(run)
                clear_suspect(self.table, run.request, now)

    def _end_servers(self, now: float) -> None:
        day = self._day
        for server in range(SERVERS):
            if self._chance.random() < day.deaths * STEP_S / SERVERS:
                self._end_server(server, now)
        if day.losses and now and now % day.losses < STEP_S:
            for server in range(SERVERS):
                self._end_server(server, now)

    def _end_server(self, server: int, now: float) -> None:
        if self._down_until[server] > now:
            return
        ended = [one for one in self._runs if one.server == server]
        self._runs = [one for one in self._runs if one.server != server]
        up = sum(
            until <= now or until == now + DOWN_S
            for until in self._down_until.values()
        )
        self._down_until[server] = now + DOWN_S
        self._starts[server] += 1
        suspects = tuple(
            Suspect(one.request, now - one.sent_at)
            for one in ended
            if now - one.sent_at - FIRST_EVENT_S <= SUSPECT_WINDOW_S
        )
        name = f'{server}/{self._starts[server]}'
        crash = ServerCrash(name, 0, suspects, SERVICE, up - 1)
        record_crash(self.table, crash, now)

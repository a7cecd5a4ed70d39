"""Blackboard: the state that the components of a router share.

Each section names its writers in its doc comment; all others only read.
"""

import dataclasses

from dykemast._internal.models.fleet import Instance, LoadReport, PeerCard
from dykemast._internal.models.revisions import Revision
from dykemast._internal.models.settings import RouterSettings
from dykemast._internal.operations.loop_health import LoopHealth
from dykemast._internal.operations.planned_stop import StopPlan


@dataclasses.dataclass
class PeerView:
    """Another router, as of its last heartbeat.

    :param card: its description of itself.
    :param beat: its heartbeat count.
    :param heard_at: seconds at which the count last grew.
    """

    card: PeerCard
    beat: int
    heard_at: float


@dataclasses.dataclass
class Fleet:
    """Other processes. Each field names its writer.

    :param peers: other routers by instance id; ``controllers.news``.
    :param instances: the platform's list, as last read;
        ``controllers.instances``.
    :param leaving: backend servers that are leaving. Names are removed only
        with their entry in the list, since the list lags. Both controllers add
        to it, from the list and from messages of peers.
    :param missing_since: seconds at which an instance was first missing from
        the list; ``controllers.instances``.
    :param incarnations: newest incarnation by instance, from the platform;
        ``controllers.reclaims``.
    :param listed_at: seconds at which the list was last read, 0 for never;
        ``controllers.instances``.
    """

    peers: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    instances: list[Instance] = dataclasses.field(default_factory=list)
    leaving: set[str] = dataclasses.field(default_factory=set)
    missing_since: dict[str, float] = dataclasses.field(default_factory=dict)
    incarnations: dict[str, str] = dataclasses.field(default_factory=dict)
    listed_at: float = 0


@dataclasses.dataclass
class Loads:
    """Load of the workers. Written by ``controllers.load_reports``.

    :param reports: last report by instance id.
    """

    reports: dict[str, LoadReport] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Rules:
    """Configuration in force. Written by ``controllers.configuration``.

    :param revision: newest accepted revision that this router has.
    """

    revision: Revision | None = None


@dataclasses.dataclass
class Traffic:
    """Requests in progress. Written by the ``path`` package.

    :param inflight: requests in progress here.
    :param by_worker: requests sent to each worker and not yet answered.
    :param by_workspace: requests in progress by workspace.
    :param leaving: whether this router is stopping.
    :param stop_plan: its plan, while it is stopping; ``controllers.runtime``.
    """

    inflight: int = 0
    by_worker: dict[str, int] = dataclasses.field(default_factory=dict)
    by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: bool = False
    stop_plan: StopPlan | None = None


@dataclasses.dataclass
class Blackboard:
    """All sections.

    :param settings: settings of this process; never change.
    :param incarnation: random id, new at each start of the process.
    :param loops: which loops failed; ``utils.supervision``.
    """

    settings: RouterSettings
    incarnation: str
    fleet: Fleet = dataclasses.field(default_factory=Fleet)
    loads: Loads = dataclasses.field(default_factory=Loads)
    rules: Rules = dataclasses.field(default_factory=Rules)
    traffic: Traffic = dataclasses.field(default_factory=Traffic)
    loops: LoopHealth = dataclasses.field(default_factory=LoopHealth)

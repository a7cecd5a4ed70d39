"""Compose the shared components of requests."""

import random

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.bills import Bills
from dykemast._internal.controllers.journal import Journal
from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.controllers.leases import Leases
from dykemast._internal.controllers.lending import Lending
from dykemast._internal.controllers.sessions import Sessions
from dykemast._internal.operations.circuit_breakers import CircuitBreakers
from dykemast._internal.operations.lease_registry import Identity, LeaseRegistry
from dykemast._internal.path.parts import Parts
from dykemast._internal.path.turns import Turns


def make_parts(
    board: Blackboard,
    sessions: Sessions,
    keepers: Keepers,
    chance: random.Random,
) -> Parts:
    """Make the shared components.

    :param board: shared state of the router.
    :param sessions: connections to other processes.
    :param keepers: access to the shards.
    :param chance: source of randomness.
    :returns: the components.
    """
    settings = board.settings
    lease_registry = LeaseRegistry(
        Identity(settings['instance'], board.incarnation)
    )
    journal = Journal(keepers, settings.get('journal_shards', 1))
    return Parts(
        board=board,
        leases=Leases(
            lease_registry, keepers, settings.get('budget_shards', 1)
        ),
        lending=Lending(board, lease_registry, sessions.peers),
        bills=Bills(board, journal, sessions.peers),
        backends=sessions.backends,
        breakers=CircuitBreakers(),
        turns=Turns(),
        gates={},
        chance=chance,
    )

"""A router never goes back to an older configuration revision."""

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.configuration import (
    ConfigurationFollower,
)
from dykemast._internal.exceptions import StaleRevisionError
from dykemast._internal.models.revisions import Configuration, Revision
from dykemast._internal.models.settings import RouterSettings
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.network.peer_codec import peer_thrift
from dykemast._internal.network.revision_store import RevisionStore
from tests.lib.fake_platform import FakePlatform, drive
from tools.files import make_settings
from tools.layout import plan_layout

EMPTY = Configuration(services=[], models=[], workspaces=[], policies=[])


def make_board() -> Blackboard:
    """Make the state of a router with valid settings."""
    layout = plan_layout(routers=1, engines=0)
    settings = make_settings(layout, layout.routers[0])
    return Blackboard(RouterSettings(**settings), 'a')


def test_older_revision_never_comes_into_force() -> None:
    board = make_board()
    store = RevisionStore(FakePlatform())
    updater = ConfigurationFollower(
        board, store, PeerClient('key', peer_thrift.Peer)
    )
    for number in (1, 3, 2, 3, 1):
        updater.apply(Revision(number, f's{number}', EMPTY), 'a test')
    assert board.rules.revision.number == 3


def test_lost_answers_of_a_submission_are_resolved() -> None:
    for faults in (['lose'], ['', 'lose'], ['drop', 'lose', 'lose']):
        platform = FakePlatform()
        platform.faults.extend(faults)
        store = RevisionStore(platform)
        assert drive(store.submit(EMPTY, 0, 'mine')) == 1
        assert drive(store.read_newest()).submission == 'mine'


def test_late_submission_does_not_revert() -> None:
    platform = FakePlatform()
    store = RevisionStore(platform)
    drive(store.submit(EMPTY, 0, 'first'))
    try:
        drive(store.submit(EMPTY, 0, 'late'))
    except StaleRevisionError:
        assert drive(store.read_newest()).submission == 'first'
    else:
        raise AssertionError('a stale submission was accepted')

"""Rules of one lease at its holder."""

from dykemast._internal.models.budgets import BudgetAck
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.holder import Holder, HolderId


def make_holder() -> Holder:
    """A new holder whose first lease was just acknowledged."""
    owner = HolderId('shop/main', 'a/1', 'i1')
    holder = Holder(owner, LeaseTerms(), 0)
    holder.usage.wait(300)
    holder.plan_intent(0, 1)
    ack = BudgetAck('shop/main', 'a/1', 1, 300, 300, 0, 700, 1000, 1000)
    holder.lease.apply_ack(ack, 0)
    return holder


def test_renewal_does_not_starve_a_waiting_request() -> None:
    # A renewal between the answer and the iteration of the waiting request
    # armed no tokens, so the request never got a hold.
    holder = make_holder()
    holder.plan_intent(1, 1)
    assert holder.take_hold(300, 1)


def test_holds_are_bounded_by_the_lease() -> None:
    holder = make_holder()
    assert not holder.take_hold(301, 0)
    assert holder.take_hold(300, 0)
    assert not holder.take_hold(1, 0)


def test_a_closed_lease_allows_no_hold() -> None:
    holder = make_holder()
    assert holder.plan_close(1, 1)
    assert not holder.take_hold(1, 1)


def test_lease_in_use_is_not_closed() -> None:
    holder = make_holder()
    holder.take_hold(1, 0)
    assert holder.plan_close(1, 1) is None

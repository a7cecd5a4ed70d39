"""What a router's part of a budget depends on."""

from typing import NamedTuple


class Identity(NamedTuple):
    """Who writes a row.

    :param instance: name of the instance.
    :param incarnation: fresh for each process start.
    """

    instance: str
    incarnation: str


class Terms(NamedTuple):
    """What bounds a row, as the configuration and the fleet are now.

    :param version: version of the configuration.
    :param prepaid: tokens paid for.
    :param routers: routers that share the budget.
    """

    version: int
    prepaid: int
    routers: int


class Want(NamedTuple):
    """What a row should allow beyond what is consumed and held.

    :param pending: tokens that requests are waiting for.
    :param demand: tokens a second that requests asked for lately.
    :param spare: whether to keep any tokens spare.
    """

    pending: int = 0
    demand: float = 0
    spare: bool = True


class Usage(NamedTuple):
    """What a router has used of a budget when it writes its row.

    :param spent: tokens known to be consumed.
    :param charged: tokens consumed, held or lent, less those borrowed.
    """

    spent: int
    charged: int

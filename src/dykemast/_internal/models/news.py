"""What routers tell each other, and how a budget is written down."""

from typing import NamedTuple

from dykemast._internal.models.fleet import PeerCard


class ServerLoad(NamedTuple):
    """What one router has at one backend server.

    :param server: id of the server.
    :param running: requests sent and not yet answered whole.
    :param unread: prompt tokens that the server still has to read for them.
    """

    server: str
    running: int
    unread: int


class SentPrompt(NamedTuple):
    """A prompt that a backend server has now read.

    :param server: id of the server.
    :param parts: keys of the parts, in order.
    :param tokens: length of each part.
    """

    server: str
    parts: tuple[str, ...]
    tokens: tuple[int, ...]


class News(NamedTuple):
    """What one router tells another.

    :param card: who tells it; its revision is the configuration's version.
    :param leaving: backend servers known to be leaving.
    :param loads: its requests at backend servers.
    :param prompts: prompts sent since the last news.
    :param ages: seconds since a kind of objects was read whole, by kind.
    """

    card: PeerCard
    leaving: tuple[str, ...]
    loads: tuple[ServerLoad, ...]
    prompts: tuple[SentPrompt, ...]
    ages: dict[str, float]


class LedgerRow(NamedTuple):
    """What one incarnation of a router may consume of a budget.

    :param instance: its instance.
    :param limit: tokens that it may have consumed, at the most.
    :param spent: tokens that are known to be consumed.
    """

    instance: str
    limit: int
    spent: int


class BudgetLedger(NamedTuple):
    """A workspace's budget in the store.

    :param version: of the configuration that ``prepaid`` is from.
    :param prepaid: tokens paid for.
    :param rows: by incarnation.
    :param closed_limit: sum of the limits of ended incarnations.
    :param closed_spent: sum of what these are known to have consumed.
    """

    version: int
    prepaid: int
    rows: dict[str, LedgerRow]
    closed_limit: int = 0
    closed_spent: int = 0

    def count_free(self) -> int:
        """Count the tokens that no router may consume yet.

        :returns: tokens; negative when the budget was lowered.
        """
        limits = sum(row.limit for row in self.rows.values())
        return self.prepaid - self.closed_limit - limits

    def count_unspent(self) -> int:
        """Count the tokens that are not known to be consumed.

        :returns: tokens.
        """
        spent = sum(row.spent for row in self.rows.values())
        return self.prepaid - self.closed_spent - spent

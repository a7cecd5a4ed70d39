"""One router's part of a workspace's budget.

The store keeps one row per incarnation with an upper bound of the tokens that
it consumes. The sum of all rows never exceeds the budget, so no fault can
overspend it: a router consumes only up to the lowest limit of all versions of
its row that the store may have.
"""


class Allowance:
    """Tokens that this router may consume of one budget.

    Counts are in tokens; all but ``held`` and ``limit`` only increase.
    """

    def __init__(self) -> None:
        """Create an allowance of 0 tokens."""
        self.spent = 0
        self.held = 0
        self.lent = 0
        self.borrowed = 0
        #: Lowest limit of the row versions that the store may have.
        self.limit = 0

    def count_charged(self) -> int:
        """Count the tokens that this router's row has to cover.

        :returns: tokens; negative if more was borrowed than used.
        """
        return self.spent + self.held + self.lent - self.borrowed

    def count_available(self) -> int:
        """Count the tokens that a new hold may take.

        :returns: tokens.
        """
        return self.limit - self.count_charged()

    def take_hold(self, tokens: int) -> bool:
        """Reserve tokens for a request.

        When the request ends, they move from ``held`` to ``spent``.

        :param tokens: upper bound of its consumption.
        :returns: whether enough tokens were available.
        """
        if self.count_available() < tokens:
            return False
        self.held += tokens
        return True

    def lend(self, tokens: int) -> int:
        """Transfer available tokens to another router.

        :param tokens: tokens requested.
        :returns: tokens transferred.
        """
        given = max(0, min(tokens, self.count_available()))
        self.lent += given
        return given

    def lower_limit(self, limit: int) -> None:
        """Apply a limit that the store may have from now on.

        :param limit: limit of a row that is about to be written, or that a
            lowered budget requires.
        """
        self.limit = min(self.limit, limit)

    def confirm_limit(self, limit: int) -> None:
        """Apply the limit that the store has confirmed.

        An earlier write whose answer was lost cannot take effect any more,
        since the revision that it expects has been replaced.

        :param limit: limit of the row in the store.
        """
        self.limit = limit


class LoanTotals:
    """Tokens of one budget lent to, and received from, each process.

    Totals only rise, so an answer that is lost, late or repeated neither loses
    nor creates tokens: the next one has them again.
    """

    def __init__(self) -> None:
        """Create totals of 0."""
        self._lent: dict[str, int] = {}
        self._received: dict[str, int] = {}

    def count_unconfirmed(self, borrower: str, received: int) -> int:
        """Count the tokens lent to a process that it has not received yet.

        :param borrower: its incarnation.
        :param received: tokens that it has received from this process.
        :returns: tokens.
        """
        return max(0, self._lent.get(borrower, 0) - received)

    def add_lent(self, borrower: str, tokens: int) -> int:
        """Add a loan.

        :param borrower: incarnation of the borrower.
        :param tokens: number of tokens lent.
        :returns: all tokens lent to it.
        """
        total = self._lent.get(borrower, 0) + tokens
        self._lent[borrower] = total
        return total

    def count_received(self, lender: str) -> int:
        """Count the tokens received from a process.

        :param lender: its incarnation.
        :returns: tokens.
        """
        return self._received.get(lender, 0)

    def accept(self, lender: str, total: int) -> int:
        """Take over what an answer has beyond those before.

        :param lender: incarnation of the lender.
        :param total: all tokens that it has lent to this process.
        :returns: number of tokens received with this answer.
        """
        before = self.count_received(lender)
        self._received[lender] = max(before, total)
        return self._received[lender] - before

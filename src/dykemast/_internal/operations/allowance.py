"""One router's part of a workspace's budget.

The store keeps a row for each incarnation with the tokens that it may have
consumed at the most. The sum of all rows never exceeds the budget, so that
no fault can overspend it: a router consumes only below the lowest limit of
all rows of its own that the store may hold.
"""


class Allowance:
    """What this router may consume of one budget.

    Figures are tokens; all but ``held`` only grow.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.spent = 0
        self.held = 0
        self.lent = 0
        self.borrowed = 0
        #: Lowest limit of the rows that the store may hold.
        self._limit = 0

    def count_charged(self) -> int:
        """Count the tokens that this router's row has to cover.

        :returns: tokens; negative when more was borrowed than used.
        """
        return self.spent + self.held + self.lent - self.borrowed

    def count_available(self) -> int:
        """Count the tokens that may be held now.

        :returns: tokens.
        """
        return self._limit - self.count_charged()

    def take_hold(self, tokens: int) -> bool:
        """Set tokens aside for a request.

        A request that ends moves them from ``held`` to ``spent``.

        :param tokens: what it may consume at the most.
        :returns: whether there were as many.
        """
        if self.count_available() < tokens:
            return False
        self.held += tokens
        return True

    def lend(self, tokens: int) -> int:
        """Give spare tokens to another router, for good.

        :param tokens: how many it wants.
        :returns: how many it gets.
        """
        given = max(0, min(tokens, self.count_available()))
        self.lent += given
        return given

    def lower_limit(self, limit: int) -> None:
        """Obey a limit that the store may hold from now on.

        :param limit: of a row that is about to be written, or that a
            lowered budget asks for.
        """
        self._limit = min(self._limit, limit)

    def confirm_limit(self, limit: int) -> None:
        """Obey only the limit that the store has confirmed.

        A write with a lost answer cannot take effect after this one: its
        condition does not hold any more.

        :param limit: of the row in the store.
        """
        self._limit = limit

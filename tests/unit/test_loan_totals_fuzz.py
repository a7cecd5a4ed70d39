"""Loans over links that lose, delay, repeat and reorder messages.

Processes end and start again at both ends. The oracle compares what a lender
took out of its tokens with what borrowers got.
"""

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykemast._internal.operations.allowance import LoanTotals

TOKENS = st.integers(0, 500)
PLACE = st.integers(0, 20)


class Process:
    """One process of a router, and the tokens that it has lent or got."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.totals = LoanTotals()
        self.lent = 0
        self.got = 0


class Request(NamedTuple):
    """A request under way."""

    borrower: Process
    lender: str
    received: int
    tokens: int


class Answer(NamedTuple):
    """An answer under way."""

    borrower: Process
    lender: str
    total: int


class LoanMachine(RuleBasedStateMachine):
    """Messages of one lender and one borrower, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.lender = Process('lender-0')
        self.borrower = Process('borrower-0')
        self.processes = [self.lender, self.borrower]
        self.requests: list[Request] = []
        self.answers: list[Answer] = []

    @rule(tokens=TOKENS)
    def ask(self, tokens) -> None:
        name = self.lender.name
        received = self.borrower.totals.count_received(name)
        self.requests.append(Request(self.borrower, name, received, tokens))

    @rule(place=PLACE, repeated=st.booleans())
    def lend(self, place, repeated) -> None:
        """Have a request reach whatever process is there now."""
        if not self.requests:
            return
        place %= len(self.requests)
        request = self.requests[place]
        if not repeated:
            self.requests.pop(place)
        self.answers.append(lend(self.lender, request))

    @rule(place=PLACE, repeated=st.booleans())
    def answer(self, place, repeated) -> None:
        if self.answers:
            place %= len(self.answers)
            accept(self.answers[place])
            if not repeated:
                self.answers.pop(place)

    @rule(place=PLACE)
    def lose_answer(self, place) -> None:
        if self.answers:
            self.answers.pop(place % len(self.answers))

    @rule()
    def restart_lender(self) -> None:
        self.lender = Process(f'lender-{len(self.processes)}')
        self.processes.append(self.lender)

    @rule()
    def restart_borrower(self) -> None:
        self.borrower = Process(f'borrower-{len(self.processes)}')
        self.processes.append(self.borrower)

    @rule()
    def ask_over_a_sound_link(self) -> None:
        """One whole exchange brings all that was lent to this process."""
        self.ask(0)
        accept(lend(self.lender, self.requests.pop()))
        total = self.lender.totals.add_lent(self.borrower.name, 0)
        name = self.lender.name
        assert self.borrower.totals.count_received(name) == total

    @invariant()
    def creates_no_tokens(self) -> None:
        lent = sum(one.lent for one in self.processes)
        assert sum(one.got for one in self.processes) <= lent


def lend(lender: Process, request: Request) -> Answer:
    """Answer a request as a lender does."""
    name = request.borrower.name
    received = request.received if request.lender == lender.name else 0
    unconfirmed = lender.totals.count_unconfirmed(name, received)
    given = max(0, request.tokens - unconfirmed)
    lender.lent += given
    total = lender.totals.add_lent(name, given)
    return Answer(request.borrower, lender.name, total)


def accept(answer: Answer) -> None:
    """Take an answer as a borrower does."""
    totals = answer.borrower.totals
    answer.borrower.got += totals.accept(answer.lender, answer.total)


TestLoans = LoanMachine.TestCase

"""Rules on requests that end servers, and on time, each broken on purpose."""

from typing import Final

from tools.mutation import Mutation

_INTERNAL: Final = 'dykemast/_internal'
_OPERATIONS: Final = f'{_INTERNAL}/operations'
_FLEET: Final = 'a request that ends servers is known to the fleet'
_INNOCENT: Final = 'innocent requests are never condemned'
_AGES: Final = 'time asleep counts'
_REVIEW: Final = 'test_crash_review'
_NEWS: Final = 'test_crash_news'
_GATE: Final = 'test_quarantine_gate'
_TURNS: Final = 'test_trial_turns'
_PARTS: Final = 'test_crashing_parts'

#: Mutations of these rules.
CRASH_MUTATIONS: Final = (
    Mutation(
        'blame a part that ran soundly just before',
        _INNOCENT,
        f'{_OPERATIONS}/crash_evidence.py',
        'if table.was_sound(name, ended_at):',
        'if table.was_sound(name, 2 * ended_at):',
        _PARTS,
    ),
    Mutation(
        'blame the last part of a prompt',
        _INNOCENT,
        f'{_OPERATIONS}/request_identity.py',
        '*shared, _ = self._request.prompt or ((),)',
        'shared = self._request.prompt',
        _PARTS,
    ),
    Mutation(
        'let parts that were always together explain each other',
        _FLEET,
        f'{_OPERATIONS}/crash_sequences.py',
        'return other not in beside',
        'return True',
        _PARTS,
    ),
    Mutation(
        'let a part explain a request that was repeated',
        _FLEET,
        f'{_OPERATIONS}/crash_sequences.py',
        'if not is_part(name) or length >= TIED_CRASHES:',
        'if is_part(name) and length >= TIED_CRASHES:',
        _PARTS,
    ),
    Mutation(
        'refuse what tells quarantined parts apart',
        _INNOCENT,
        f'{_INTERNAL}/serving/admission/quarantine.py',
        'may_test = not remaining or is_separated(',
        'may_test = not remaining and is_separated(',
        'test_part_admission',
    ),
    Mutation(
        'count ends at one moment one by one',
        _INNOCENT,
        f'{_OPERATIONS}/crash_sequences.py',
        'if not sequence or run.sent_at > sequence[-1].ended_at:',
        'if not sequence or run.sent_at:',
        _REVIEW,
    ),
    Mutation(
        'blame whoever was there',
        _INNOCENT,
        f'{_OPERATIONS}/crash_review.py',
        'return unexplained >= UNEXPLAINED_CRASHES',
        'return unexplained >= 0',
        _REVIEW,
    ),
    Mutation(
        'blame who had run well for a while',
        _INNOCENT,
        f'{_OPERATIONS}/broken_sends.py',
        'return self.broken_at - self.event_at <= SUSPECT_WINDOW_S',
        'return self.broken_at >= self.event_at',
        _REVIEW,
    ),
    Mutation(
        'blame a hot question for a loss of all servers',
        _INNOCENT,
        f'{_OPERATIONS}/crash_runs.py',
        'return simultaneous >= crash.others',
        'return simultaneous > crash.others',
        _REVIEW,
    ),
    Mutation(
        'count an end though its server answers',
        _INNOCENT,
        f'{_OPERATIONS}/crash_runs.py',
        'if crash.is_refuted():',
        'if not crash.sent_at:',
        _REVIEW,
    ),
    Mutation(
        'take the next process for the one that crashed',
        'a crash counts though the server is started again at once',
        f'{_INTERNAL}/operations/crash_table.py',
        'return self.refuted and not self.was_restarted',
        'return self.refuted',
        'test_refuted_crashes',
    ),
    Mutation(
        'begin to settle anew with each end',
        _FLEET,
        f'{_OPERATIONS}/crash_review.py',
        'return ended_at[QUARANTINE_CRASHES - 1]',
        'return ended_at[-1]',
        _REVIEW,
    ),
    Mutation(
        'keep what others tell for oneself',
        _FLEET,
        f'{_OPERATIONS}/crash_gossip.py',
        'changes = [record_crash(table, one, now) for one in news.crashes]',
        'changes = [bool(one) for one in news.crashes]',
        _NEWS,
    ),
    Mutation(
        'forget two ends in a loss of all routers',
        _FLEET,
        f'{_OPERATIONS}/crash_persistence.py',
        'if len(sequence) >= MIN_STORED_CRASHES',
        'if len(sequence) > MIN_STORED_CRASHES',
        _NEWS,
    ),
    Mutation(
        'serve before having asked',
        _FLEET,
        f'{_INTERNAL}/serving/admission/quarantine.py',
        'if not is_crash_table_current(board):',
        'if board.stopping and not is_crash_table_current(board):',
        _GATE,
    ),
    Mutation(
        'run several at once on trial',
        _FLEET,
        f'{_INTERNAL}/serving/admission/trials.py',
        'if request in board.trials:',
        'if not request:',
        _GATE,
    ),
    Mutation(
        'try at all routers when a quarantine is over',
        _FLEET,
        f'{_INTERNAL}/serving/admission/quarantine.py',
        'if may_test and not is_responsible(board, request):',
        'if may_test and not request:',
        _GATE,
    ),
    Mutation(
        'keep the moment of a refused connection as the end of a server',
        _INNOCENT,
        f'{_OPERATIONS}/crash_evidence.py',
        'if crash.suspects and not known.sent_at:',
        'if not crash.suspects and not known.sent_at:',
        _REVIEW,
    ),
    Mutation(
        'blame a request for the end of a server that it was not at',
        _INNOCENT,
        f'{_OPERATIONS}/crash_runs.py',
        'if sent_at is None or request not in first.sent_at:',
        'if sent_at is None:',
        _REVIEW,
    ),
    Mutation(
        'count the last of several sends to a server',
        _INNOCENT,
        f'{_OPERATIONS}/crash_evidence.py',
        'known.sent_at[suspect.request] = min(first_at, sent_at)',
        'known.sent_at[suspect.request] = max(first_at, sent_at)',
        _REVIEW,
    ),
    Mutation(
        'count sends that broke off at one moment one by one',
        _INNOCENT,
        f'{_INTERNAL}/serving/admission/trials.py',
        'return len(extended_sequence) >= TRIAL_CRASHES',
        'return len(board.broken.list_runs(request)) >= TRIAL_CRASHES',
        _GATE,
    ),
    Mutation(
        'let suspects on together at one router',
        _INNOCENT,
        f'{_INTERNAL}/serving/admission/trials.py',
        'if not board.trials.isdisjoint(rivals):',
        'if request in rivals:',
        _TURNS,
    ),
    Mutation(
        'let suspects on at all routers at once',
        _INNOCENT,
        f'{_INTERNAL}/serving/admission/trials.py',
        'return _is_overdue(board, request) or is_responsible(board, service)',
        'return _is_overdue(board, request) or bool(service)',
        _TURNS,
    ),
    Mutation(
        'keep suspects from all routers but one for ever',
        _INNOCENT,
        f'{_INTERNAL}/serving/admission/trials.py',
        'return _is_overdue(board, request) or is_responsible(board, service)',
        'return is_responsible(board, service)',
        _TURNS,
    ),
    Mutation(
        'read a clock that stops while the machine sleeps',
        _AGES,
        f'{_INTERNAL}/utils/clock.py',
        "_CLOCK: Final = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)",
        '_CLOCK: Final = time.CLOCK_PROCESS_CPUTIME_ID',
        'test_suspended_routers',
    ),
)

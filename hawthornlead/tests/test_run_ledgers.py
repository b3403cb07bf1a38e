"""What is known of the runs of one request."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.promises.run_ledgers import (
    PROMISE_STATUSES,
    NotRun,
    RunLedger,
    prove_not_run,
)

REFUSAL = Failure(ErrorKind.NO_TARGET, "no target can serve it now", 0.5)


def test_a_send_without_an_answer_is_never_refused_with_a_promise():
    """Guards against "not run" after an attempt whose end is unknown."""
    ledger = RunLedger()
    assert ledger.truthful(REFUSAL) is REFUSAL
    ledger.record_send()
    assert ledger.truthful(REFUSAL).answer.status == 502
    assert not ledger.may_send(repeatable=False)
    assert ledger.may_send(repeatable=True)


def test_a_refusal_that_its_target_states_is_a_promise():
    ledger = RunLedger()
    ledger.record_send()
    ledger.record_not_run(prove_not_run(503, stated=True))
    assert ledger.truthful(REFUSAL) is REFUSAL
    assert ledger.may_send(repeatable=False)
    assert not ledger.may_have_run_here


def test_a_success_that_says_it_did_not_run_proves_nothing():
    """Guards against a second run after an answer that contradicts itself."""
    assert prove_not_run(200, stated=True) is None
    assert prove_not_run(503, stated=False) is None


def test_what_ran_at_another_vm_is_not_refused_here():
    """Guards against a promise of the second VM that the first can't keep."""
    ledger = RunLedger(sent=2, ran=1)
    assert ledger.truthful(REFUSAL).answer.status == 502
    assert not ledger.may_have_run_here
    assert not ledger.may_send(repeatable=False)


class LedgerMachine(RuleBasedStateMachine):
    """Sends of one request that may run once, as ``ledger`` allows them.

    ``runs`` counts those that a target really ran; a target that states "not run"
    tells the truth.
    """

    def __init__(self):
        super().__init__()
        self.ledger = RunLedger()
        self.runs = 0

    @precondition(lambda self: self.ledger.may_send(repeatable=False))
    @rule(by_relay=st.booleans(), runs=st.booleans(), answers=st.booleans())
    def send(self, by_relay, runs, answers):
        """Send it; whoever gets it runs it or not, and answers or not."""
        if by_relay:
            self.ledger.record_relay()
        else:
            self.ledger.record_send()
        if runs:
            self.runs += 1
        elif answers:
            self.ledger.record_not_run(NotRun(503))

    @rule()
    def refuse(self):
        """Refuse it, which ends it if the refusal is a promise."""
        status = self.ledger.truthful(REFUSAL).answer.status
        assert status not in PROMISE_STATUSES or not self.runs

    @invariant()
    def runs_once_at_most(self):
        """It never runs twice."""
        assert self.runs <= 1


TestLedgers = LedgerMachine.TestCase
TestLedgers.settings = settings(max_examples=60, deadline=None, derandomize=True)

"""The invariants about what was sent can break: each is broken here once."""

import pytest

from hawthornlead.callers.sent_attempts import SentAttempts
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.invariants import InvariantBroken

from .fakes_targets import make_parts

NOT_RUN = Failure(ErrorKind.NO_SLOT, "no slot", 1.0)


@pytest.fixture
def invariants():
    return make_parts().invariants


@pytest.fixture
def sent(invariants):
    return SentAttempts(invariants=invariants)


def test_not_run_of_what_was_sent(sent, invariants):
    """A caller is told "not run" and sends its lap crossing again.

    The first attempt's bytes left and its connection broke; the second attempt got
    no slot, and the error of the second was answered.
    """
    sent.record_send("r-1", at_most_once=False)
    with pytest.raises(InvariantBroken, match="not-run-never-sent"):
        sent.check_refusal("r-1", NOT_RUN)
    sent.check_refusal("r-1", Failure(ErrorKind.TARGET_LOST, "lost"))
    assert invariants.broken == {"not-run-never-sent": 1}


def test_not_run_after_a_promise_or_of_another_request(sent):
    sent.record_send("r-1", at_most_once=True)
    sent.record_not_run("r-1")
    sent.check_refusal("r-1", NOT_RUN)
    sent.check_refusal("r-2", NOT_RUN)
    sent.discard("r-1")
    sent.check_refusal("r-1", NOT_RUN)


def test_sent_again_though_it_may_not_be_repeated(sent):
    """A bulletin is filed twice: its first attempt was lost and it was retried."""
    sent.record_send("r-1", at_most_once=True)
    with pytest.raises(InvariantBroken, match="keyed-sent-once"):
        sent.record_send("r-1", at_most_once=True)


def test_sent_again_after_a_promise_or_when_repeatable(sent, invariants):
    sent.record_send("r-1", at_most_once=True)
    sent.record_not_run("r-1")
    sent.record_send("r-1", at_most_once=True)
    for _ in range(2):
        sent.record_send("r-2", at_most_once=False)
    assert invariants.broken == {}

"""Tests that each invariant about sent attempts detects a violation."""

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
    """A caller is answered "not run" for a request that may have run.

    The first attempt was sent and its connection broke. The second attempt got no
    slot, and only its error was answered.
    """
    sent.record_send("r-1", at_most_once=False)
    with pytest.raises(InvariantBroken, match="not-run-never-sent"):
        sent.check_refusal("r-1", NOT_RUN)
    sent.check_refusal("r-1", Failure(ErrorKind.TARGET_LOST, "lost"))
    assert invariants.broken == {"not-run-never-sent": 1}


def test_not_run_after_confirmation_or_of_another_request(sent):
    sent.record_send("r-1", at_most_once=True)
    sent.record_not_run("r-1")
    sent.check_refusal("r-1", NOT_RUN)
    sent.check_refusal("r-2", NOT_RUN)
    sent.discard("r-1")
    sent.check_refusal("r-1", NOT_RUN)


def test_resend_of_a_request_that_must_not_be_repeated(sent):
    """A request that must not be repeated is retried after its attempt was lost."""
    sent.record_send("r-1", at_most_once=True)
    with pytest.raises(InvariantBroken, match="keyed-sent-once"):
        sent.record_send("r-1", at_most_once=True)


def test_resend_after_confirmation_or_when_repeatable(sent, invariants):
    sent.record_send("r-1", at_most_once=True)
    sent.record_not_run("r-1")
    sent.record_send("r-1", at_most_once=True)
    for _ in range(2):
        sent.record_send("r-2", at_most_once=False)
    assert invariants.broken == {}

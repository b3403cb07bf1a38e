"""Tests of the failure that is answered at the end of a request."""

import pytest

from hawthornlead.callers.outcomes import failure_to_answer, may_have_run
from hawthornlead.errors import ErrorKind, Failure, Ran

NOT_RUN = Failure(ErrorKind.NO_TARGET, "none is left", 1.0)


def test_a_refusal_after_an_attempt_that_ran_does_not_say_not_run():
    """A request's target dies, and the retry finds no other target.

    If the answer were that of the last attempt only, "not run", the caller would send
    again a request that may have run.
    """
    answered = failure_to_answer(NOT_RUN, ran=True)
    assert answered.answer.ran is not Ran.NOT_RUN
    assert "none is left" in answered.detail
    assert answered.retry_after_s == 1.0


@pytest.mark.parametrize("ran", [False, True])
def test_other_failures_stay_as_they_are(ran):
    lost = Failure(ErrorKind.TARGET_LOST, "lost")
    assert failure_to_answer(lost, ran) is lost
    assert failure_to_answer(NOT_RUN, ran=False) is NOT_RUN
    assert may_have_run(lost)
    assert not may_have_run(NOT_RUN)

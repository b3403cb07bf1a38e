"""Tests of what is told and noted at the end of a request."""

import pytest

from hawthornlead.callers.outcomes import failure_to_answer, may_have_run
from hawthornlead.errors import ErrorKind, Failure, Ran

NOT_RUN = Failure(ErrorKind.NO_TARGET, "none is left", 1.0)


def test_a_refusal_after_an_attempt_that_ran_does_not_say_not_run():
    """A request is lost with its target and then finds no other to run on.

    The caller would be told of the last attempt only, that it did not run, and send
    again what has run once.
    """
    told = failure_to_answer(NOT_RUN, ran=True)
    assert told.answer.ran is not Ran.NOT_RUN
    assert "none is left" in told.detail
    assert told.retry_after_s == 1.0


@pytest.mark.parametrize("ran", [False, True])
def test_other_failures_stay_as_they_are(ran):
    lost = Failure(ErrorKind.TARGET_LOST, "lost")
    assert failure_to_answer(lost, ran) is lost
    assert failure_to_answer(NOT_RUN, ran=False) is NOT_RUN
    assert may_have_run(lost)
    assert not may_have_run(NOT_RUN)

"""Tests of the verdict on prompt parts that crash targets."""

import random

import pytest

from hawthornlead.decisions.crashing_parts import (
    ANSWER_TTL_S,
    EVIDENCE_TTL_S,
    EXPLAINED_TRIAL_S,
    FIRST_TRIAL_S,
    MAX_ANSWERED,
    MAX_CRASHES,
    MAX_DEATHS,
    CrashingParts,
    Death,
)
from hawthornlead.messages import UnansweredPrompt


class Evidence:
    """The evidence of one VM; each death and each request is a new one."""

    def __init__(self):
        self.parts = CrashingParts(crashes_to_quarantine=2)
        self._number = 0
        self.now = 0.0

    def die(self, *prompts, digests=()):
        """Record a death of a new target, with the parts of its prompts."""
        self._number += 1
        suspects = []
        for number, parts in enumerate(prompts):
            digest = digests[number] if digests else b"%d-%d" % (self._number, number)
            suspects.append(UnansweredPrompt(digest, parts))
        return self.parts.record_death(
            Death(f"e{self._number}", ""), suspects, self.now
        )

    def answer(self, *parts):
        return self.parts.record_answered(parts, self.now)

    @property
    def quarantined(self):
        return {each.part for each in self.parts.quarantined}


@pytest.fixture
def evidence():
    return Evidence()


def test_a_part_of_different_requests_in_two_deaths_is_quarantined(evidence):
    evidence.answer("a0")
    evidence.die(("a0", "bad"), ("a0", "s1"))
    assert evidence.quarantined == set()
    assert evidence.parts.is_suspect(("a0", "bad"))
    evidence.die(("a0", "s2"), ("a0", "bad"))
    assert evidence.quarantined == {"bad"}
    assert evidence.parts.find_quarantine(("a0", "bad")).crashes == 2
    assert evidence.parts.find_quarantine(("a0", "s1")) is None


def test_one_request_that_is_sent_again_accuses_nothing(evidence):
    """Guards against refusing a sound request that was on two targets as they died."""
    evidence.die(("s1",), digests=(b"same",))
    evidence.die(("s1",), digests=(b"same",))
    assert evidence.quarantined == set()


def test_reports_on_one_death_count_once(evidence):
    death = Death("e1", "")
    for digest in (b"a", b"b"):
        evidence.parts.record_death(death, [UnansweredPrompt(digest, ("bad",))], 0.0)
    assert evidence.quarantined == set()


def test_a_first_part_is_not_accused_for_what_follows_it(evidence):
    """Guards against refusing a route because nothing was answered there yet."""
    for subject in ("s1", "s2", "s3"):
        evidence.die(("a0", subject), ("a0", "bad"))
    assert evidence.quarantined == {"bad"}


def test_the_suspicion_falls_on_the_part_before_an_answered_one(evidence):
    evidence.die(("bad", "s1"))
    evidence.die(("bad", "s2"))
    assert evidence.quarantined == set()
    assert evidence.answer("s1", "s2") == ("s1", "s2")
    assert evidence.quarantined == {"bad"}


def test_an_answer_clears_a_part_and_keeps_it_clear(evidence):
    evidence.die(("s1",))
    evidence.die(("s1",))
    assert evidence.answer("s1") == ("s1",)
    assert evidence.quarantined == set()
    assert evidence.die(("s1",)) == ("s1",)
    assert evidence.die(("s1",)) == ("s1",)
    assert not evidence.parts.is_suspect(("s1",))
    assert evidence.answer("s1") == ()
    evidence.now += ANSWER_TTL_S
    assert evidence.die(("s1",)) == ()
    assert evidence.parts.is_suspect(("s1",))


def test_a_part_is_tried_rarely_and_then_never_again(evidence):
    evidence.die(("bad",))
    evidence.die(("bad",))
    last_wait_s = 0.0
    for crashes in range(2, MAX_CRASHES):
        quarantine = evidence.parts.find_quarantine(("bad",))
        assert quarantine.crashes == crashes
        wait_s = quarantine.trial_at - evidence.now
        assert wait_s >= max(FIRST_TRIAL_S, 2 * last_wait_s)
        last_wait_s = wait_s
        evidence.now = quarantine.trial_at
        evidence.parts.record_trial("bad", evidence.now)
        assert evidence.parts.find_quarantine(("bad",)).trial_at > evidence.now
        evidence.die(("bad",))
    assert evidence.parts.find_quarantine(("bad",)).trial_at is None


def test_of_two_parts_in_the_same_deaths_each_may_be_tried_soon_but_not_both(evidence):
    """Guards against a route that stays refused since another part crashed its targets.

    After a loss of all VMs no answer is known, and its only part was in all deaths.
    """
    evidence.die(("a0",), ("bad",))
    evidence.die(("bad",), ("a0",))
    assert evidence.quarantined == {"a0", "bad"}
    assert evidence.parts.find_quarantine(("a0",)).trial_at == EXPLAINED_TRIAL_S
    assert evidence.parts.find_quarantine(("a0", "bad")).trial_at is None
    evidence.answer("a0")
    assert evidence.quarantined == {"bad"}
    assert evidence.parts.find_quarantine(("a0",)) is None
    assert evidence.parts.find_quarantine(("bad",)).trial_at == FIRST_TRIAL_S


def test_a_death_that_a_quarantined_part_explains_accuses_nothing_else(evidence):
    """Guards against refusing a sound part for a plain crash after others' deaths."""
    evidence.die(("bad",), ("s1",), ("s2",))
    evidence.die(("bad",))
    assert evidence.quarantined == {"bad"}
    evidence.die(("s1",))
    assert evidence.quarantined == {"bad"}
    evidence.die(("s1",))
    assert evidence.quarantined == {"bad", "s1"}


def test_what_another_vm_learns_from_the_evidence_is_the_same_verdict(evidence):
    evidence.die(("s1", "bad"), ("s2",))
    evidence.die(("bad",), ("s3",))
    learned = CrashingParts(crashes_to_quarantine=2)
    for death, at, prompts in evidence.parts.against(frozenset({"bad"})):
        learned.record_death(death, prompts, at)
    assert {each.part for each in learned.quarantined} == {"bad"}


def test_evidence_is_bounded_by_age_and_number(evidence):
    evidence.die(("bad",))
    evidence.now = EVIDENCE_TTL_S
    evidence.die(("bad",))
    assert evidence.quarantined == set()
    evidence.die(("bad",))
    assert evidence.quarantined == {"bad"}
    evidence.now += EVIDENCE_TTL_S
    evidence.parts.expire(evidence.now)
    assert evidence.quarantined == set()
    for number in range(2 * MAX_DEATHS):
        evidence.die((f"s{number}",))
    assert not evidence.parts.is_suspect(("bad",))
    assert evidence.parts.is_suspect((f"s{2 * MAX_DEATHS - 1}",))


def test_the_parts_longest_without_an_answer_are_forgotten(evidence):
    for number in range(MAX_ANSWERED + 1):
        evidence.answer(f"s{number}")
    assert not evidence.parts.is_answered("s0", evidence.now)
    assert evidence.parts.is_answered("s1", evidence.now)


@pytest.mark.parametrize("seed", range(20))
def test_no_schedule_of_crashes_lets_more_than_five_through(seed):
    """Guards against more than five crashes under one part, and many wrong refusals.

    Six targets get prompts with 240 subjects, and one part that crashes each of them.
    In a second 48 sound and 2 crashing requests come, beside plain crashes. A target
    has some requests that it hasn't answered yet when it dies.
    """
    rng = random.Random(seed)
    evidence = Evidence()
    crashes = 0
    waiting: list[tuple[str, ...]] = []
    refused = sent = 0
    for step in range(60 * 50):
        evidence.now = step / 50
        sound = (f"f{rng.randrange(3)}", f"s{rng.randrange(240)}")
        parts = ("f0", "bad") if rng.random() < 0.04 else sound
        quarantine = evidence.parts.find_quarantine(parts)
        if quarantine is not None:
            trial_at = quarantine.trial_at
            if trial_at is None or evidence.now < trial_at:
                refused += parts == sound
                continue
            evidence.parts.record_trial(quarantine.part, evidence.now)
        sent += parts == sound
        waiting = [*waiting[-6:], parts]
        if parts != sound or rng.random() < 0.005:
            crashes += parts != sound
            evidence.die(*waiting)
            waiting = []
        elif len(waiting) > 4:
            evidence.answer(*waiting.pop(0))
    assert crashes <= MAX_CRASHES
    assert refused <= 0.02 * sent

"""Tests of draining."""

import asyncio
import random

import pytest

from hawthornlead.bundles.bundles import CallerTerms
from hawthornlead.callers.drains import Drain
from hawthornlead.decisions.limits import Admissions
from hawthornlead.errors import ErrorKind
from hawthornlead.invariants import InvariantBroken
from hawthornlead.ownership.members import EntryAnswer
from hawthornlead.settings import default_settings

from .fakes_targets import make_parts

OFFICE = CallerTerms("office", 5, 100.0, 100, 10)


class _Members:
    """The part of ``Members`` that a drain uses."""

    def __init__(self):
        self.draining = False

    def start_draining(self):
        self.draining = True

    def entry_answer(self, data_centre):
        return EntryAnswer(("10.0.0.1:1", "10.0.0.2:1"), 10.0)


SETTINGS = default_settings(
    VM_NAME="vm-1",
    DATA_CENTRE="gijon",
    CALLER_ADDRESS="10.0.0.1:1",
    ENTRY_KEEP_S=10.0,
    DRAIN_S=20.0,
)


@pytest.fixture
def parts():
    return make_parts()


@pytest.fixture
def admissions(parts):
    return Admissions(settings=SETTINGS, timers=parts.timers, rng=random.Random(1))


@pytest.fixture
def drain(parts):
    return Drain(
        core=parts._replace(settings=SETTINGS),
        members=_Members(),
    )


async def test_cached_addresses_are_served_then_refused_with_other_addresses(
    parts, drain, admissions
):
    """A caller uses an address that it resolved before the VM started to drain.

    It is served for as long as callers cache answers, and its open request is waited
    for. A later caller is sent to another VM.
    """
    running = asyncio.ensure_future(drain.run(admissions))
    await asyncio.sleep(0)
    await parts.timers.advance(9.0)
    assert drain.refusal() is None
    late = admissions.admit(OFFICE, 5).unwrap()
    await parts.timers.advance(5.0)
    refusal = drain.refusal()
    assert refusal.kind is ErrorKind.DRAINING
    assert refusal.addresses == ("10.0.0.2:1",)
    assert not running.done()
    late.release()
    await parts.timers.advance(1.0)
    await running
    assert parts.invariants.checked == {"drain-cuts-nothing": 1}


async def test_a_request_that_outlives_the_drain_breaks_the_invariant(
    parts, drain, admissions
):
    """A stream runs longer than ``drain_s`` and is cut off when the VM stops."""
    admissions.admit(OFFICE, 5).unwrap()
    running = asyncio.ensure_future(drain.run(admissions))
    await asyncio.sleep(0)
    await parts.timers.advance(31.0)
    with pytest.raises(InvariantBroken, match="drain-cuts-nothing"):
        await running

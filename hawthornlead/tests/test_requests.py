"""Tests of how the request path chooses among targets."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from result import Err, Ok

from hawthornlead.bundles.bundles import Assignment
from hawthornlead.callers.requests import (
    CallerRequest,
    CrashParts,
    RequestPath,
    Routing,
)
from hawthornlead.core_parts import build_core
from hawthornlead.decisions.routers import Candidate
from hawthornlead.decisions.suspects import Suspects
from hawthornlead.decisions.views import TargetView
from hawthornlead.engines.target_deaths import TargetDeaths
from hawthornlead.errors import ErrorKind
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

ASSIGNMENT = Assignment("tides", "v1", "base", 5)
CALLER = SimpleNamespace(name="gijon")


class Site:
    """A request path with two targets that grant every request."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.on_acquire = lambda target: None
        settings = default_settings(VM_NAME="vm-1")
        core = build_core(settings, random.Random(1), self.timers)
        self.suspects = Suspects(
            settings=settings, timers=self.timers, events=core.events
        )
        self.deaths = TargetDeaths(
            events=core.events,
            mesh=None,
            suspects=self.suspects,
            views=None,
            clients=None,
        )
        parts = "keeper admissions claims retries attempts shares hot_copies sent"
        self.path = RequestPath(
            core=core._replace(invariants=None),
            routing=Routing(views=self, router=self, popularity=None, grants=self),
            crashes=CrashParts(self.suspects, self.deaths, suspect_reservations=self),
            **dict.fromkeys(parts.split()),
        )

    async def reserve(self, view, request_id, hold_s):
        """Reserve the place for a suspect, as an owner without other suspects does."""
        return Ok(None)

    def views(self):
        """Return the views of both targets."""
        return [
            TargetView(name, f"{name}:1", "gijon", ("base",), "vm-2", None, 0.0, False)
            for name in ("t1", "t2")
        ]

    def choose(self, assignment, views, popularity, now):
        """Prefer the first target."""
        return [Candidate(view.target, resident=True) for view in views]

    async def acquire(self, target, assignment, **terms):
        """Grant the request at once."""
        self.on_acquire(target)
        return Ok(SimpleNamespace(loaded_s=0.0))

    def run_on(self, target, prompt):
        """Record that a suspect runs on a target."""
        view = next(view for view in self.views() if view.target == target)
        fingerprint = self.request(prompt).fingerprint
        self.suspects.record_death("t0", "boot-1", [fingerprint])
        self.deaths.record_start(view, f"{prompt}.1", fingerprint)

    def request(self, prompt, left_s=5.0):
        """Return a request with ``left_s`` seconds to its deadline."""
        until = self.timers.now() + left_s
        return CallerRequest("r", CALLER, "brief", prompt, 8, 5, until, "", None)

    def grant(self, prompt):
        """Start to acquire a grant for a request."""
        granting = self.path._grant(self.request(prompt), ASSIGNMENT, set())
        return asyncio.create_task(granting)


@pytest.fixture
def site():
    return Site()


async def test_a_suspect_goes_where_no_other_suspect_runs(site):
    """Two suspects run on one target, which dies, and both are quarantined.

    One of them is innocent. On separate targets the next death identifies the one
    that causes it.
    """
    site.run_on("t1", "bad")
    site.suspects.record_death("t0", "boot-1", [site.request("suspect").fingerprint])
    waiting = site.grant("suspect")
    await asyncio.sleep(0)
    await site.timers.advance(1)
    one_try, _ = (await waiting).ok_value
    assert one_try.view.target == "t2"
    innocent, _ = (await site.grant("innocent")).ok_value
    assert innocent.view.target == "t1"


async def test_a_suspect_waits_where_suspects_run_everywhere(site):
    for target in ("t1", "t2"):
        site.run_on(target, f"bad-{target}")
    site.suspects.record_death("t0", "boot-1", [site.request("suspect").fingerprint])
    waiting, refused = site.grant("suspect"), site.grant("suspect")
    await asyncio.sleep(0)
    await site.timers.advance(1)
    assert not waiting.done()
    site.deaths.record_end("t2", "bad-t2.1")
    await asyncio.sleep(0)
    await site.timers.advance(1)
    one_try, _ = (await waiting).ok_value
    assert one_try.view.target == "t2"
    assert (await refused).is_ok()


async def test_a_suspect_that_waits_to_its_deadline_did_not_run(site):
    for target in ("t1", "t2"):
        site.run_on(target, f"bad-{target}")
    site.suspects.record_death("t0", "boot-1", [site.request("suspect").fingerprint])
    waiting = site.grant("suspect")
    await asyncio.sleep(0)
    await site.timers.advance(6)
    refused = await waiting
    assert isinstance(refused, Err)
    assert refused.err_value.kind is ErrorKind.NO_TARGET


async def test_a_suspect_that_began_during_the_wait_for_a_grant_is_seen(site):
    """Two suspects wait for grants on one target, which is free of suspects.

    Both pass the check before either runs, so the target is checked again when the
    grant was acquired, right before the attempt starts.
    """

    def other_begins(target):
        if target == "t1":
            site.run_on("t1", "bad")

    site.on_acquire = other_begins
    site.suspects.record_death("t0", "boot-1", [site.request("suspect").fingerprint])
    waiting = site.grant("suspect")
    await asyncio.sleep(0)
    await site.timers.advance(1)
    one_try, _ = (await waiting).ok_value
    assert one_try.view.target == "t2"

"""Tests of quotas over many VMs: what is admitted, also when VMs are disconnected."""

from random import Random

import pytest

from hawthornlead.bench.bench_quotas import LOADS, QuotaDemand, play_quota
from hawthornlead.decisions.fair_quotas import FairQuotaLedger
from hawthornlead.decisions.quotas import (
    MAX_RETRY_S,
    STATE_TTL_S,
    Limit,
    QuotaLedger,
)
from hawthornlead.errors import ErrorKind
from hawthornlead.messages.quotas import QuotaState, QuotaUse

from . import fakes_fleets
from .fakes_fleets import FakeFleet
from .gateways import Deployment
from .test_workspaces import KEY, OTHER_KEY, keyed, put_in_force, tenant

# A limit may be exceeded in a window by a tenth plus a number of tokens.
OVERAGE, SLACK_TOKENS, WINDOW_S = 0.1, 17000, 8
RATES = (4200.0, 30000.0, 93000.0)
SEEDS = (11, 12, 13, 14, 15)
# Credit refused within the limit, as a share of what a single bucket admits.
MAX_UNUSED = 0.02


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("way", ["told", "told fairly"])
def test_no_load_exceeds_the_limit_by_more_than_is_allowed(way, load, rate):
    """A workspace sends many times its usual load and takes what others need.

    Meanwhile VMs are disconnected or restarted, and learn late what others admitted.
    """
    demand = QuotaDemand(rate=rate)
    allowed = 1 + OVERAGE + SLACK_TOKENS / (rate * (WINDOW_S + 1))
    for seed in SEEDS:
        assert play_quota(way, demand, load, seed).over <= allowed


@pytest.mark.parametrize("rate", RATES[1:])
@pytest.mark.parametrize("load", ["usual", "one VM", "moving"])
@pytest.mark.parametrize("way", ["told", "told fairly"])
def test_what_is_within_the_limit_is_admitted(way, load, rate):
    """A customer is refused below its limit because its credit lies at other VMs."""
    demand = QuotaDemand(rate=rate)
    unused = [play_quota(way, demand, load, seed).unused for seed in SEEDS]
    assert sum(unused) / len(unused) < MAX_UNUSED


class OneLedger:
    """A ledger whose clock and received state are set by the test."""

    def __init__(self, rate=100.0, burst=100.0):
        self.at = 50.0
        self.share = 1.0
        self.ledger = QuotaLedger(
            now=lambda: self.at,
            rng=Random(1),
            share=lambda: self.share,
            vms=lambda: 10,
        )
        self.ledger.apply_limits({"zimi": Limit(rate, burst)})
        self.ledger.mark_counting_locally()

    def admitted(self, count, cost=10.0, name="zimi") -> int:
        """Request at one moment, and return how many were admitted."""
        return sum(self.ledger.admit(name, cost).is_ok() for _ in range(count))

    def idle(self, seconds) -> None:
        """Let time pass without requests."""
        self.at += seconds
        self.ledger.mark_counting_locally()


def test_an_unknown_workspace_has_no_limit():
    assert OneLedger().admitted(1000, name="dati") == 1000


def test_a_request_that_costs_nothing_is_admitted():
    """A request that declares no tokens ends without an answer."""
    one = OneLedger()
    assert one.admitted(3, cost=0.0) == 3


def test_a_burst_is_admitted_and_what_follows_waits_for_its_credit():
    one = OneLedger()
    one.idle(5.0)
    assert 7 <= one.admitted(100) <= 17
    refusal = one.ledger.admit("zimi", 10.0).err_value
    assert refusal.kind is ErrorKind.CALLER_LIMITED
    assert 0 < refusal.retry_after_s <= MAX_RETRY_S
    assert "zimi is over its limit of 100" in refusal.detail


def test_what_others_admitted_is_repaid_first():
    one = OneLedger()
    one.idle(5.0)
    one.ledger.apply_uses((QuotaUse("zimi", 500.0, 500.0), QuotaUse("gone", 1.0, 1.0)))
    assert one.admitted(20) == 0
    one.idle(9.0)
    assert one.admitted(5) == 5


def test_what_was_admitted_and_never_ran_is_refunded():
    one = OneLedger()
    one.idle(5.0)
    (before,) = one.ledger.states()
    one.ledger.admit("zimi", 80.0)
    one.ledger.refund("zimi", 80.0)
    (use,) = one.ledger.collect_uses()
    assert use == ("zimi", 80.0, 0.0)
    assert one.ledger.collect_uses() == ()
    (state,) = one.ledger.states()
    assert state.credit == before.credit


def test_a_lower_limit_takes_the_credit_above_it():
    one = OneLedger()
    one.idle(5.0)
    one.ledger.apply_limits({"zimi": Limit(10.0, 20.0)})
    assert one.ledger.states()[0].credit <= 20.0
    one.ledger.apply_limits({})
    assert one.ledger.limits == {}
    assert one.admitted(50) == 50


def test_a_heads_state_is_applied_except_for_unreported_use():
    one = OneLedger()
    one.ledger.admit("zimi", 30.0)
    one.ledger.apply_states((QuotaState("zimi", 70.0, 12.0),), 0.5)
    assert one.ledger.states()[0].credit == 40.0


def test_a_vm_that_was_frozen_uses_only_its_share_until_it_is_updated():
    """A VM that resumes spends credit that the others used while it was frozen."""
    one = OneLedger()
    one.idle(5.0)
    one.at += STATE_TTL_S + 8.0
    assert one.admitted(50) <= 1
    assert one.ledger.admit("zimi", 10.0).err_value.kind is ErrorKind.ISOLATED
    one.idle(5.0)
    assert one.admitted(5) == 5


def test_vms_in_a_partition_use_their_share_of_the_rate():
    one = OneLedger()
    one.idle(5.0)
    one.ledger.apply_uses((QuotaUse("zimi", 100.0, 100.0),))
    before = one.ledger.states()[0].credit
    one.share = 0.5
    one.at += 1.0
    assert one.ledger.states()[0].credit == before + 50.0


@pytest.mark.parametrize(
    ("kind", "most"), [(QuotaLedger, 700.0), (FairQuotaLedger, 1000.0)]
)
async def test_all_vms_of_a_large_fleet_count_what_one_admits(kind, most, monkeypatch):
    monkeypatch.setattr(fakes_fleets, "QuotaLedger", kind)
    fleet = FakeFleet({"gijon": 14, "bilbao": 14, "santander": 12})
    await fleet.settle()
    for vm in fleet.vms.values():
        vm.quotas.apply_limits({"zimi": Limit(100.0, 1000.0)})
    await fleet.settle(12.0)
    spender = next(name for name in fleet.vms if name not in fleet.heads())
    assert fleet.vms[spender].quotas.admit("zimi", 600.0).is_ok()
    await fleet.settle(2.0)
    for vm in fleet.vms.values():
        (state,) = vm.quotas.states()
        assert most - 600.0 <= state.credit <= most - 200.0
    fleet.stop()


async def test_a_workspace_over_its_limit_gets_a_retry_time():
    async with Deployment(vms=2) as deployment:
        tenants = [tenant("zimi", KEY, ratePerS=1), tenant("dati", OTHER_KEY)]
        await put_in_force(deployment, keyed(2, *tenants))

        async def ask(key, number):
            bearer = f"Token {key}"
            return await deployment.ask(
                "/safe/x", "GET", vm=number % 2, Authorization=bearer
            )

        await deployment.until(
            lambda: all(
                each._memberships.recently_seen() for each in deployment.gateways
            )
        )
        answers = [await ask(KEY, number) for number in range(30)]
        refused = [answer for answer in answers if answer.status == 429]
        assert len(refused) >= 20
        assert all(float(each.headers["Retry-After"]) > 0 for each in refused)
        assert not any("Server-Seal" in each.headers for each in refused)
        others = [await ask(OTHER_KEY, number) for number in range(10)]
        assert [answer.status for answer in others] == [200] * 10

"""Tests of whole gateways while another writer makes store objects unreadable."""

import asyncio

import pytest

from hawthornlead.gateway.ownerships import OWNERS_KIND
from hawthornlead.gateway.vm_leases import LEASES_KIND
from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    TARGETS_KIND,
    VERSIONS_KIND,
)

from .gateways import MODEL, Deployment, configuration, route

UNREADABLE = {
    "a text": lambda entry: "spoilt",
    "an unknown state": lambda entry: entry | {"state": "resting"},
    "a text for a number": lambda entry: entry | {"slots": "4"},
    "no service": lambda entry: {k: v for k, v in entry.items() if k != "service"},
    "a list of texts": lambda entry: entry | {"models": [MODEL]},
}


def knows(deployment: Deployment, target: str) -> list[bool]:
    """Return for each VM whether it uses a target."""
    return [gateway._targets.is_usable(target) for gateway in deployment.gateways]


class Callers:
    """Callers that request streams of one model without a pause until ``stop``."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._stopped = False
        self.statuses: list[int] = []
        self.whole = True
        self.tasks = [asyncio.create_task(self._ask_on(number)) for number in range(4)]

    async def stop(self) -> None:
        """Stop the callers and wait for their last answers."""
        self._stopped = True
        await asyncio.gather(*self.tasks)

    async def _ask_on(self, number: int) -> None:
        while not self._stopped:
            answer = await self._deployment.ask("/stream/x", vm=number % 2, Model=MODEL)
            self.statuses.append(answer.status)
            self.whole = self.whole and answer.whole


@pytest.mark.parametrize("how", UNREADABLE)
async def test_an_entry_that_becomes_unreadable_under_load(how):
    """Another writer overwrites the entry of one of two engines.

    VMs must stop using that engine and learn of later changes. They don't if the former
    entry stays in force, or if the error ends the task that watches targets.
    """
    async with Deployment() as deployment:
        first, second = deployment.engines
        callers = Callers(deployment)
        await deployment.until(lambda: first.ran and second.ran)
        deployment.store.write(TARGETS_KIND, "e1", UNREADABLE[how](first.entry()))
        await deployment.until(lambda: not any(knows(deployment, "e1")))
        # Requests that were under way when the entry changed arrive during this wait.
        await asyncio.sleep(0.1)
        ran, served = len(first.ran), len(second.ran)
        await deployment.until(lambda: len(second.ran) >= served + 30)
        assert len(first.ran) == ran
        assert all(knows(deployment, "e2"))
        deployment.register(first)
        await deployment.until(lambda: all(knows(deployment, "e1")))
        await deployment.until(lambda: len(first.ran) > ran)
        await callers.stop()
        assert set(callers.statuses) == {200}
        assert callers.whole
        # The engine is owned and takes orders again.
        await deployment.until(lambda: all(map(deployment.ready, deployment.gateways)))


async def test_an_entry_of_an_unknown_service_is_never_chosen():
    async with Deployment(vms=1) as deployment:
        first, second = deployment.engines
        entry = first.entry() | {"service": "llm-next"}
        deployment.store.write(TARGETS_KIND, "e1", entry)
        deployment.store.write(TARGETS_KIND, "e9", entry | {"service": "nobody"})
        gateway = deployment.gateways[0]
        await deployment.until(lambda: "e9" in gateway._targets.entries)
        for number in range(10):
            answer = await deployment.ask("/stream/x", Model=f"{MODEL}/a{number % 2}")
            assert answer.status == 200
        assert not first.ran
        assert not first.orders
        assert len(second.ran) == 10


async def test_an_unreadable_object_of_each_kind_stops_neither_answers_nor_orders():
    """One unreadable object of each kind must not end the reader of that kind.

    The former configuration, versions, owners, leases and VMs must stay in force, and
    other engines get their orders. Otherwise no request is answered, or no adapter is
    loaded.
    """
    async with Deployment() as deployment:
        store, (_, second) = deployment.store, deployment.engines
        store.write(CONFIGURATION_KIND, "main", {"version": 9, "routes": "none"})
        store.write(VERSIONS_KIND, f"{MODEL}.a1", {"version": "new"})
        store.write(VMS_KIND, "vm-1", ["spoilt"])
        store.write(LEASES_KIND, "vm-1", "spoilt")
        store.write(OWNERS_KIND, "e1", "spoilt")
        store.write(TARGETS_KIND, "e1", None)
        await deployment.until(lambda: not any(knows(deployment, "e1")))
        for number in range(6):
            model = f"{MODEL}/b{number % 3}"
            answer = await deployment.ask("/stream/x", vm=number % 2, Model=model)
            assert (answer.status, answer.whole) == (200, True)
            plain = await deployment.ask("/safe/x", "GET", vm=number % 2)
            assert plain.status == 200
        assert {order["adapter"] for order in second.orders} == {"b0", "b1", "b2"}
        # Later changes of each kind are applied.
        added = route("new", "/new/", "plain", "safe")
        store.write(CONFIGURATION_KIND, "main", configuration(10, added))
        key = (MODEL, "a1")
        version = {"model": MODEL, "adapter": "a1", "version": 3}
        store.write(VERSIONS_KIND, f"{MODEL}.a1", version)
        for gateway in deployment.gateways:
            await deployment.until(lambda g=gateway: g._targets.version(key) == 3)
            await deployment.until(
                lambda g=gateway: g._parts.configuration.version == 10
            )
        later = await deployment.add_vm("vm-3")
        await deployment.until(lambda: later._memberships.record_of("vm-1") is not None)


async def test_an_object_larger_than_a_message_between_vms_ends_no_watch():
    """An object larger than a message between VMs may be must not end the watch.

    If the failure to relay it ends the task that watches, the VMs learn of no more
    changes.
    """
    async with Deployment() as deployment:
        large = deployment.engines[0].entry() | {"further": "ä" * 400_000}
        deployment.store.write(TARGETS_KIND, "e1", large | {"zone": "bilbao"})
        deployment.store.write(TARGETS_KIND, "e9", {"further": "ä" * 400_000})
        deployment.store.write(TARGETS_KIND, "e2", "spoilt")
        await deployment.until(lambda: not any(knows(deployment, "e2")))
        deployment.register(deployment.engines[1])
        await deployment.until(lambda: all(knows(deployment, "e2")))
        for gateway in deployment.gateways:
            assert gateway._targets.entries["e1"].data_centre == "bilbao"


async def test_operators_see_an_unreadable_object_once():
    async with Deployment(vms=1) as deployment:
        deployment.store.write(TARGETS_KIND, "e1", "spoilt")
        deployment.store.write(TARGETS_KIND, "e1", "spoilt again")
        deployment.store.write(TARGETS_KIND, "p1", {"service": 1})
        await deployment.until(lambda: not any(knows(deployment, "p1")))
        text = deployment.gateways[0]._read_metrics().body.decode()
        name = "hawthornlead_gateway_unreadable_records_total"
        assert f'{name}{{kind="servers"}} 2.0' in text

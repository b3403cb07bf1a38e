"""Embed leases and ownership: one of several workers prints the nightly report.

Each worker is handed its collaborators; here they are the simplest that will do: a
store in memory and a fixed list of workers in one process. With the platform's
object API, hand in an ``HttpObjectStore`` instead, and a mesh and members of your own
or those of the daemon. Run it by ``python -m examples.embed_lease``.
"""

import asyncio
import random

from result import Err

from hawthornlead.clocks import HybridClock
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.leases import LeaseKeeper
from hawthornlead.memory_stores import MemoryObjects, MemoryStore
from hawthornlead.owners import OrderRight, Owners, Ownership
from hawthornlead.settings import default_settings
from hawthornlead.timers import TimerService

RESOURCE = "job:nightly-report"
DATA_CENTRE = "here"


class NoMesh:
    """Workers that do not talk to one another renew their leases by themselves."""

    address = "127.0.0.1:0"

    def on(self, message_type, handler) -> None:
        """Take no messages."""

    async def call(self, vm, message, timeout_s=None):
        """Reach nobody."""
        return Err(Failure(ErrorKind.PEER_UNAVAILABLE, "no mesh"))


class FixedMembers:
    """The list of workers, none of which can be proved gone."""

    draining = False

    def __init__(self, *names: str):
        self._names = names

    def live_vms(self) -> tuple[str, ...]:
        """Return all workers."""
        return self._names

    def in_data_centre(self, data_centre: str) -> tuple[str, ...]:
        """Return all workers; they stand in one place."""
        return self._names

    def proof_gone(self, vm: str, incarnation: str) -> str | None:
        """Prove nothing: a successor waits until the lease has run out."""
        return None


class Worker:
    """One worker: a lease of its own, and the job while it owns it."""

    def __init__(self, name: str, objects: MemoryObjects, members: FixedMembers):
        settings = default_settings(
            VM_NAME=name,
            DATA_CENTRE=DATA_CENTRE,
            CALLER_ADDRESS="127.0.0.1:0",
            LEASE_S=1.0,
            LEASE_RENEW_S=0.2,
            ORDER_S=0.2,
        )
        self.name = name
        self.timers = TimerService()
        shared = {
            "settings": settings,
            "timers": self.timers,
            "events": EventRing(name, HybridClock(self.timers)),
            "rng": random.Random(name),
        }
        store = MemoryStore(objects, **shared)
        self.leases = LeaseKeeper(store=store, mesh=NoMesh(), members=members, **shared)
        self.owners = Owners(store=store, leases=self.leases, members=members, **shared)
        self.taken: asyncio.Queue[Ownership] = asyncio.Queue()
        self.owners.on_taken(self.taken.put_nowait)

    def start(self) -> None:
        """Begin to hold a lease, and take part in owning the job."""
        self.leases.start()
        self.owners.start()
        self.owners.request(RESOURCE, DATA_CENTRE)

    async def stop(self) -> None:
        """Stop as a process that is killed does: nothing is given back."""
        await self.owners.stop()
        await self.leases.stop()
        self.timers.stop()

    async def work(self) -> bool:
        """Do the job if this worker may; the check stands right before the act."""
        if self.owners.right(RESOURCE, duration_s=0.1) is not OrderRight.FULL:
            return False
        fence = self.owners.owned(RESOURCE).fence
        print(f"{self.name} prints the report under fence {fence}")
        return True


async def work_once(worker: Worker) -> int:
    """Wait until a worker owns the job and has done it; return its fence."""
    ownership = await worker.taken.get()
    # A successor has to wait out orders that its predecessor may have under way.
    while not await worker.work():
        await worker.timers.sleep(0.05)
    return ownership.fence


async def run() -> tuple[int, int, int]:
    """Take the job, hand it on, then lose its owner; return the three fences."""
    objects, members = MemoryObjects(), FixedMembers("first", "second")
    first = Worker("first", objects, members)
    second = Worker("second", objects, members)
    first.start()
    taken = await work_once(first)

    second.start()
    await first.owners.release(RESOURCE)
    handed_on = await work_once(second)
    assert not await first.work()

    first.owners.request(RESOURCE, DATA_CENTRE)
    await second.stop()
    taken_over = await work_once(first)
    await first.owners.release_all()
    await first.leases.release()
    await first.stop()
    return taken, handed_on, taken_over


if __name__ == "__main__":
    print("fences:", asyncio.run(run()))

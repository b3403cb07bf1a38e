"""Several VMs with claims over one store in memory, in one process."""

import asyncio
import random

from result import Err, Ok

from hawthornlead.callers.claims import Claims
from hawthornlead.core_parts import build_core
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.messages import Failed
from hawthornlead.settings import default_settings
from hawthornlead.stores.memory_stores import MemoryObjects, MemoryStore
from hawthornlead.timers import ManualTimerService


class ClaimVm:
    """One VM: its store client and claims; also acts as its mesh and members."""

    def __init__(self, fleet: "ClaimFleet", name: str, incarnation: str):
        self.fleet = fleet
        self.vm = name
        self.incarnation = incarnation
        self.cut = False
        self.handlers = {}
        settings = default_settings(VM_NAME=name, **fleet.overrides)
        rng = random.Random(name + incarnation)
        core = build_core(settings, rng, fleet.timers)
        self.store = MemoryStore(
            fleet.objects,
            settings=settings,
            timers=fleet.timers,
            rng=rng,
        )
        self.invariants = core.invariants
        self.claims = Claims(
            core=core,
            store=self.store,
            mesh=self,
            members=self,
        )
        self.claims.start()

    def on(self, message_type, handler):
        """Register a handler, as the mesh does."""
        self.handlers[message_type] = handler

    async def call(self, vm, message, timeout_s=None):
        """Call another VM; one that is disconnected or gone does not answer."""
        other = self.fleet.vms.get(vm)
        silent = Err(Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm} does not answer"))
        if other is None or self.cut:
            return silent
        if other.cut:
            await self.fleet.timers.sleep(timeout_s)
            return silent
        working = other.handlers[type(message)](self, message)
        reply = await working
        if other.cut or self.cut or self.fleet.vms.get(vm) is not other:
            # The handler has run, but its reply is lost.
            return silent
        if isinstance(reply, Failed):
            kind = ErrorKind(reply.kind)
            return Err(Failure(kind, reply.detail, reply.retry_after_s))
        return Ok(reply)

    def live_vms(self):
        """Return the VMs that are registered."""
        return tuple(self.fleet.vms)

    def proof_gone(self, vm, incarnation):
        """Return a proof if a VM's process has ended."""
        return "refused" if (vm, incarnation) in self.fleet.gone else None


class ClaimFleet:
    """VMs ``vm-1``, ``vm-2``, ... over one store; tests advance the time."""

    def __init__(self, count: int = 3, **overrides):
        self.overrides = {"CLAIM_RANGES": 1, **overrides}
        self.timers = ManualTimerService()
        self.objects = MemoryObjects()
        self.vms: dict[str, ClaimVm] = {}
        self.gone: set[tuple[str, str]] = set()
        self._starts = 0
        for number in range(1, count + 1):
            self.start_vm(f"vm-{number}")

    def start_vm(self, name: str) -> ClaimVm:
        """Start a VM, with a new incarnation."""
        self._starts += 1
        self.vms[name] = ClaimVm(self, name, f"start-{self._starts}")
        return self.vms[name]

    def kill(self, name: str) -> None:
        """End a VM's process at once; its unrecorded outcomes are lost."""
        vm = self.vms.pop(name)
        self.gone.add((name, vm.incarnation))
        vm.cut = True
        vm.store.outage = True
        vm.claims._subscription.cancel()

    async def finish(self, *coroutines):
        """Advance time until all coroutines have ended; return their results."""
        working = asyncio.gather(*coroutines)
        for _ in range(5000):
            if working.done():
                break
            await self.timers.advance(0.002)
        return await asyncio.wait_for(working, 5)

    async def claim(self, vm: str, key: str, attempt: str, fingerprint=b"f"):
        """Claim a key of the caller ``gijon`` from one VM."""
        claims = self.vms[vm].claims
        (claimed,) = await self.finish(claims.claim("gijon", key, fingerprint, attempt))
        return claimed

    async def state(self, vm: str, key: str, attempt: str, fingerprint=b"f") -> str:
        """Claim a key; return the state, or the kind of the error."""
        claimed = await self.claim(vm, key, attempt, fingerprint)
        if isinstance(claimed, Err):
            return claimed.err_value.kind.value
        return claimed.ok_value.state

    async def record(self, vm: str, key: str, attempt: str, state: str, body=b""):
        """Record an outcome from one VM."""
        claims = self.vms[vm].claims
        (recorded,) = await self.finish(
            claims.record("gijon", key, attempt, state, 200, "text/plain", body)
        )
        return recorded

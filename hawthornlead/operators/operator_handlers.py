"""HTTP routes for operators; unsigned requests are refused.

``request_guards`` describes how requests are signed. The bodies of orders are signed
statements too. They are stored with the bundle, so that every VM can verify them
itself.
"""

import base64
import binascii

from ..bundles.bundle_chunks import BundleChunk
from ..bundles.rolls import BundleKeeper
from ..errors import ErrorKind, Failure
from .request_guards import RequestGuard, SignedHandler


class OperatorHandler(SignedHandler):
    """Base class of all operator routes."""

    def initialize(self, keeper: BundleKeeper, guard: RequestGuard, mesh) -> None:
        """Set the objects that the daemon built."""
        super().initialize(guard)
        self._keeper = keeper
        self._mesh = mesh


class ChunkHandler(OperatorHandler):
    """Receives one chunk of a bundle."""

    async def post(self) -> None:
        """Store the chunk under its digest."""
        body = self.body()
        if body.is_err():
            self.refuse(body.unwrap_err())
            return
        try:
            content = base64.b64decode(body.unwrap()["content"], validate=True)
            chunk = BundleChunk(str(body.unwrap()["digest"]), content)
        except (KeyError, TypeError, ValueError, binascii.Error):
            detail = 'a chunk is {"digest", "content" in base64}'
            self.refuse(Failure(ErrorKind.BAD_REQUEST, detail))
            return
        kept = await self._keeper.library.put_chunk(chunk)
        if kept.is_err():
            self.refuse(kept.unwrap_err())
            return
        self.answer({"digest": chunk.digest})


class BundleHandler(OperatorHandler):
    """Shows the bundle in force and receives prepared bundles."""

    async def get(self) -> None:
        """Show what is in force, what is staged and the past rolls."""
        pointer = await self._keeper.read_pointer()
        if pointer.is_err():
            self.refuse(pointer.unwrap_err())
            return
        found = pointer.unwrap()
        self.answer(
            {
                "seq": found.seq,
                "digest": found.digest,
                "staged": found.staged._asdict() if found.staged else None,
                "past": [roll._asdict() for roll in found.past],
            }
        )

    async def post(self) -> None:
        """Store a bundle, whose chunks are stored, with its preparer's signature."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        prepared = await self._keeper.library.prepare(signed.unwrap())
        if prepared.is_err():
            self.refuse(prepared.unwrap_err())
            return
        self.answer(
            {"digest": prepared.unwrap().digest, "name": prepared.unwrap().name}
        )


class ApproveHandler(OperatorHandler):
    """Receives approvals."""

    async def post(self) -> None:
        """Store the approval if its operator is not the preparer."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        approved = await self._keeper.library.approve(signed.unwrap())
        if approved.is_err():
            self.refuse(approved.unwrap_err())
            return
        self.answer({"digest": signed.unwrap().statement.digest})


class RollHandler(OperatorHandler):
    """Executes orders to roll, with or without a waiver."""

    async def post(self) -> None:
        """Roll, and answer once it is certain whether the bundle is accepted."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        required = "waive" if self.request.path.endswith("/waive") else "roll"
        if signed.unwrap().statement.purpose != required:
            detail = f"this route accepts only statements to {required}"
            self.refuse(Failure(ErrorKind.BAD_REQUEST, detail))
            return
        rolled = await self._keeper.roll(signed.unwrap())
        if rolled.is_err():
            self.refuse(rolled.unwrap_err())
            return
        self.answer(rolled.unwrap()._asdict())


class RetireHandler(OperatorHandler):
    """Executes orders to retire a bundle."""

    async def post(self) -> None:
        """Prevent the bundle from being rolled again."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        retired = await self._keeper.retire(signed.unwrap())
        if retired.is_err():
            self.refuse(retired.unwrap_err())
            return
        self.answer({"digest": signed.unwrap().statement.digest})


class StatusHandler(OperatorHandler):
    """Shows which bundle this VM serves, or why it refuses requests."""

    def get(self) -> None:
        """Answer from memory, so that the route works during a store outage."""
        permitted = self._keeper.may_serve()
        fields = {
            "seq": self._keeper.seq_in_force,
            "staged_seq": self._keeper.staged_seq,
            "serves": permitted.is_ok(),
            "connected": sorted(peer.vm for peer in self._mesh.live),
        }
        if permitted.is_err():
            fields["error"] = permitted.unwrap_err().kind.value
            fields["detail"] = permitted.unwrap_err().detail
        self.answer(fields)


def operator_routes(*, guard: RequestGuard, keeper: BundleKeeper, mesh) -> list:
    """Return the tornado routes for operators."""
    parts = {"keeper": keeper, "guard": guard, "mesh": mesh}
    return [
        ("/operator/chunks", ChunkHandler, parts),
        ("/operator/bundles", BundleHandler, parts),
        ("/operator/bundle", BundleHandler, parts),
        ("/operator/approve", ApproveHandler, parts),
        ("/operator/roll", RollHandler, parts),
        ("/operator/waive", RollHandler, parts),
        ("/operator/retire", RetireHandler, parts),
        ("/operator/status", StatusHandler, parts),
    ]

"""The time line of the fleet, merged from the event rings of all VMs.

Each VM returns its own ring over the mesh. The VM that collects sorts the records by
hybrid time, in which a cause comes before its effect. The ring of a process is lost
when the process ends. VMs that did not answer are listed, so that missing records are
not mistaken for an absence of events::

    collected = await timeline.collect(subject="engine-3", limit=1000)
"""

import asyncio
import json
from typing import NamedTuple

from result import Err

from ..events import EventRing
from ..messages import CollectedEvents, CollectEvents, EventRecord
from .request_guards import RequestGuard, SignedHandler

# The collecting VM holds all answers in memory at once, so the limit per VM shrinks as
# the fleet grows. 20,000 records take about 7 MB.
MAX_RECORDS = 20000
MAX_RECORDS_PER_VM = 1000
# Records encoded without a pause: encoding all of them at once would delay streams.
RECORDS_PER_CHUNK = 500


class CollectedTimeline(NamedTuple):
    """Merged events, oldest first, and the VMs that did not answer."""

    events: tuple[EventRecord, ...]
    missing: tuple[str, ...]


class Timeline:
    """Returns the events of this VM and collects those of all VMs."""

    def __init__(self, *, settings, events: EventRing, mesh, members):
        self._vm = settings["VM_NAME"]
        self._events = events
        self._mesh = mesh
        self._members = members
        mesh.on(CollectEvents, self._answer)

    async def collect(self, subject: str, limit: int) -> CollectedTimeline:
        """Return the events of all live VMs that mention ``subject``.

        ``limit`` is the maximum number of events of one VM; its newest are returned.
        """
        vms = self._members.live_vms()
        share = max(1, MAX_RECORDS // max(1, len(vms)))
        request = CollectEvents(subject, max(1, min(limit, share, MAX_RECORDS_PER_VM)))
        answers = await asyncio.gather(*(self._mesh.call(vm, request) for vm in vms))
        records: list[EventRecord] = []
        missing = []
        for vm, answer in zip(vms, answers, strict=True):
            if isinstance(answer, Err):
                missing.append(vm)
                continue
            records += answer.ok_value.events
        records.sort(key=lambda record: (record.wall_ms, record.logical, record.vm))
        return CollectedTimeline(tuple(records), tuple(missing))

    async def _answer(self, sender, message: CollectEvents) -> CollectedEvents:
        limit = max(1, min(message.limit, MAX_RECORDS_PER_VM))
        return CollectedEvents(self._events.newest(message.subject, limit))


class TimelineHandler(SignedHandler):
    """``GET /timeline``: the events of all VMs, by ``subject`` and ``limit``."""

    def initialize(self, guard: RequestGuard | None, timeline: Timeline) -> None:
        """Set the time line that collects."""
        super().initialize(guard)
        self._timeline = timeline

    async def get(self) -> None:
        """Answer with the merged events and the VMs that did not respond."""
        subject = self.get_query_argument("subject", "")
        limit = self.get_query_argument("limit", "")
        number = (
            int(limit) if limit.isdecimal() and len(limit) < 9 else MAX_RECORDS_PER_VM
        )
        collected = await self._timeline.collect(subject, number)
        self.set_header("Content-Type", "application/json")
        self.write(f'{{"missing": {json.dumps(collected.missing)}, "events": [')
        for start in range(0, len(collected.events), RECORDS_PER_CHUNK):
            records = collected.events[start : start + RECORDS_PER_CHUNK]
            self.write(", " if start else "")
            self.write(", ".join(json.dumps(each._asdict()) for each in records))
            await self.flush()
        self.finish("]}")


def timeline_routes(timeline: Timeline, guard: RequestGuard | None = None) -> list:
    """Return the route of the time line; without a guard it is open to all."""
    return [(r"/timeline", TimelineHandler, {"guard": guard, "timeline": timeline})]

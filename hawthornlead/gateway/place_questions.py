"""What a VM asks of the owner of an engine for a place, and what follows its answer.

::

    message = questions.with_place(message, requested, spec, start_by, last)
    refusal = questions.refusal(message, reply)
"""

from result import Result

from ..admission.place_events import PlaceEvents
from ..admission.waiting_questions import WaitingQuestions, is_silent
from ..errors import ErrorKind, Failure
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import PromptReserved, ReservePrompt
from ..timers import TimerService
from .placement_requests import PlacementRequest
from .records import CallerRequest, EngineSpec, TargetEntry
from .refusals import busy_failure
from .target_loads import TargetLoads

# A request waits for a place until this long after its arrival: callers abandon a
# stream that has not started after 2 to 3 s.
MAX_PLACE_WAIT_S = 1.6
# After an unanswered question, requests don't wait for places at that owner for this
# long: it may hang. They still ask, and are sent directly without an answer.
SILENT_S = 1.0


class PlaceQuestions:
    """This VM's questions for places at engines."""

    def __init__(
        self,
        *,
        mesh: FleetMesh,
        loads: TargetLoads,
        timers: TimerService,
        report: PlaceEvents,
    ):
        self._questions = WaitingQuestions(mesh)
        self._loads = loads
        self._timers = timers
        self._report = report
        # Until when the owners of engines are taken for hanging, by engine.
        self._silent_until: dict[str, float] = {}

    async def call(
        self, owner: str, message: ReservePrompt, timeout_s: float
    ) -> Result[PromptReserved, Failure]:
        """Ask an engine's owner, which answers in ``timeout_s`` and any wait."""
        waits = message.wait_s > 0
        timeout_s += max(0.0, message.wait_s)
        reply = await self._questions.call(owner, message, timeout_s, waits)
        if is_silent(reply):
            self._record_silent(message.target)
        else:
            self._silent_until.pop(message.target, None)
        return reply

    def with_place(
        self,
        message: ReservePrompt,
        requested: PlacementRequest,
        spec: EngineSpec,
        start_by: float,
        last: bool,
    ) -> ReservePrompt:
        """Return a question for a turn that also asks for a place.

        If other engines can be tried, it doesn't wait, unless this one was chosen
        although it is known to be full: then all others would take longer.
        """
        now = self._timers.now()
        wait_s = 0.0
        silent = self._silent_until.get(message.target, 0.0) > now
        if not silent and (
            last or self._loads.is_counted_full(message.target, spec.batch)
        ):
            left_s = (requested.deadline_at - now) / 2
            wait_s = min(requested.arrived_at + MAX_PLACE_WAIT_S - now, left_s)
        return message._replace(
            rank=requested.route.priority,
            due_s=start_by - now,
            output_tokens=_output_tokens(requested.request),
            wait_s=max(0.0, wait_s),
            share_key=requested.workspace,
        )

    def refusal(self, message: ReservePrompt, reply: PromptReserved) -> Failure | None:
        """Return why an engine has no place for a request, None if it has one.

        The engine's requests count in the next choice.
        """
        if reply.running >= 0:
            granted = 1 if reply.reserved else 0
            self._loads.record_counted(message.target, reply.running - granted)
        if reply.reserved or not reply.held or reply.place_s <= 0:
            return None
        if message.wait_s > 0:
            return busy_failure(reply.place_s)
        return Failure(ErrorKind.NO_PLACE, "all places are taken", reply.place_s)

    def unanswered(
        self, entry: TargetEntry, spec: EngineSpec, failure: Failure, last: bool
    ) -> Failure | None:
        """Return why a request isn't sent without an answer, None if it is.

        As far as this VM knows, the engine must have a place, if others can be tried.
        """
        running = self._loads.running(entry.target)
        if running >= spec.batch and not last:
            return Failure(ErrorKind.NO_PLACE, "no place is known of", 0.3)
        self._report.record_direct(
            entry.target, running=running, batch=spec.batch, detail=failure.detail
        )
        return None

    def _record_silent(self, target: str) -> None:
        now = self._timers.now()
        # Those that have passed are dropped, also of engines that are gone.
        self._silent_until = {
            each: until for each, until in self._silent_until.items() if until > now
        }
        self._silent_until[target] = now + SILENT_S


def _output_tokens(request: CallerRequest) -> int:
    """Return the expected output, as far as the request declares it.

    A hint beyond the declared maximum, or none, counts as the maximum.
    """
    most = max(0, request.max_tokens)
    likely = request.likely_tokens
    return likely if 0 < likely < most else most

"""HTTP of the engine stand-in, where the faults of its answers are applied."""

import asyncio
import json

from .base import StandInHandler
from .engine_orders import Order
from .engine_runs import Request, Run


class CompletionsHandler(StandInHandler):
    """Run one completion, streamed or not."""

    async def post(self):
        """Answer a completion request."""
        engine = self.stand_in
        try:
            request = Request.read(self.read_json())
        except (KeyError, ValueError, TypeError):
            return self.answer(400, error="bad-request", ran=False)
        refusal = engine.refusal(request)
        if refusal:
            engine.counts["refused"] += 1
            status, error = refusal
            self.set_header("Retry-After", "1")
            return self.answer(status, error=error, ran=False)
        run = Run(request, engine.now())
        sink = run.sink
        engine.begin(run)
        if request.stream:
            return await self._stream_answer(run, sink)
        return await self._whole_answer(run, sink)

    async def _next(self, run: Run, sink: asyncio.Queue):
        """Return the next event, or None at the end of the answer."""
        waiting = asyncio.ensure_future(sink.get())
        gone = asyncio.ensure_future(self.gone.wait())
        try:
            await asyncio.wait({waiting, gone}, return_when="FIRST_COMPLETED")
        finally:
            gone.cancel()
        if not waiting.done():
            waiting.cancel()
            self.stand_in.cancel(run.request.id, "gone")
            return None
        return waiting.result()

    async def _stream_answer(self, run: Run, sink: asyncio.Queue):
        engine = self.stand_in
        truncated, doubled = engine.take("truncate"), engine.take("double")
        tokens_twice = engine.take("double_tokens")
        cut_at = (run.request.offset + run.request.max_tokens) // 2
        if engine.faults["late_s"]:
            await engine.timers.sleep(engine.faults["late_s"])
        self.set_header("Content-Type", "text/event-stream")
        sent = []
        while (event := await self._next(run, sink)) is not None:
            await self._hang(run)
            event = self._falsified(event)
            if truncated and (event.get("i", -1) >= cut_at or "done" in event):
                engine.cancel(run.request.id, "truncated")
                return self.drop()
            copies = 2 if tokens_twice and "i" in event else 1
            sent += [event] * copies
            self.write(self._line(event) * copies)
            await self.flush()
        if not sent or "done" not in sent[-1]:
            return self.drop()
        if doubled:
            self.write("".join(self._line(event) for event in sent))
        return self.finish()

    async def _whole_answer(self, run: Run, sink: asyncio.Queue):
        engine = self.stand_in
        truncated, doubled = engine.take("truncate"), engine.take("double")
        head, text = {}, ""
        while (event := await self._next(run, sink)) is not None:
            if "id" in event:
                head = self._falsified(event)
            text += event.get("t", "")
            if "done" in event:
                head = {**head, "text": text, "count": event["count"]}
        await self._hang(run)
        if engine.faults["late_s"]:
            await engine.timers.sleep(engine.faults["late_s"])
        if "count" not in head:
            return self.drop()
        head.pop("offset", None)
        body = json.dumps(head)
        self.set_header("Content-Type", "application/json")
        if truncated:
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: len(body) // 2])
            await self.flush()
            return self.drop()
        return self.finish(body * 2 if doubled else body)

    async def _hang(self, run: Run) -> None:
        """On a silent connection, go on running and say nothing."""
        if self.stand_in.silenced(self._stream):
            await self.gone.wait()
            self.stand_in.cancel(run.request.id, "gone")
        await self.hang_if_silent()

    def _falsified(self, event: dict) -> dict:
        if "id" not in event or not self.stand_in.take("wrong_version"):
            return event
        return {**event, "version": event["version"] + "-other"}

    def _line(self, event: dict) -> str:
        return f"data: {json.dumps(event)}\n\n"


class CancelHandler(StandInHandler):
    """Cancel a run."""

    def post(self):
        """Cancel by id; ``cancelled`` tells whether anything ran."""
        self.answer(200, cancelled=self.stand_in.cancel(str(self.read_json()["id"])))


class OrdersHandler(StandInHandler):
    """Carry out an order."""

    async def post(self):
        """Answer when the order was carried out or refused."""
        engine = self.stand_in
        try:
            order = Order.read(self.read_json())
        except (KeyError, ValueError, TypeError):
            return self.answer(400, error="bad-request")
        answer = await engine.book.carry_out(order)
        await self.hang_if_silent()
        common = {"now": engine.now(), "boot_id": engine.boot_id}
        if answer.status == 200:
            return self.answer(200, ok=True, **common)
        return self.answer(answer.status, error=answer.error, **common)


class ReportHandler(StandInHandler):
    """Tell the load report, which may lag."""

    def get(self):
        """Return the report."""
        self.answer(200, **self.stand_in.report())


class HealthHandler(StandInHandler):
    """Tell boot id and clock, without lag."""

    def get(self):
        """Return boot id and the engine's time."""
        engine = self.stand_in
        self.answer(200, boot_id=engine.boot_id, now=engine.now())


class CacheEventsHandler(StandInHandler):
    """Tell cache events, late and with gaps."""

    def get(self):
        """Return the events after ``since``; every ``cache_gap``-th is missing."""
        engine = self.stand_in
        since = int(self.get_query_argument("since", "0"))
        seen_at = engine.timers.now() - engine.faults["cache_lag_s"]
        events = [e for e in engine.cache_events[since:] if e["at"] <= seen_at]
        following = events[-1]["seq"] if events else since
        gap = engine.faults["cache_gap"]
        shown = [e for e in events if not gap or e["seq"] % gap]
        self.answer(200, events=shown, next=following)


ROUTES = [
    (r"/v1/completions", CompletionsHandler),
    (r"/v1/cancel", CancelHandler),
    (r"/orders", OrdersHandler),
    (r"/report", ReportHandler),
    (r"/health", HealthHandler),
    (r"/cache_events", CacheEventsHandler),
]

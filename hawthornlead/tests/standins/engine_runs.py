"""Runs of the engine stand-in: continuous batching with deterministic tokens."""

import asyncio
import hashlib
from collections import deque
from typing import NamedTuple


def token_text(prompt: str, adapter: str, version: str, index: int) -> str:
    """Return token ``index`` of an answer; the same for each run of a request."""
    seed = "\0".join((prompt, adapter, version, str(index)))
    return hashlib.blake2b(seed.encode(), digest_size=3).hexdigest() + " "


def whole_text(prompt: str, adapter: str, version: str, count: int) -> str:
    """Return the text of an answer's first ``count`` tokens.

    A test compares what a caller received with this::

        assert answer["text"] == whole_text("tide?", "bilbao", "3", 16)
    """
    tokens = [token_text(prompt, adapter, version, index) for index in range(count)]
    return "".join(tokens)


def prompt_hash(prompt: str) -> str:
    """Return the short hash by which the record names a prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


class Request(NamedTuple):
    """What a completion request asked; ``max_tokens`` counts from index 0."""

    id: str
    adapter: str
    version: str
    base_model: str
    prompt: str
    max_tokens: int
    stream: bool
    offset: int
    priority: int

    @classmethod
    def read(cls, body: dict) -> "Request":
        """Read a request from JSON; a missing field is a KeyError."""
        return cls(
            str(body["id"]),
            str(body["adapter"]),
            str(body["version"]),
            str(body.get("base_model", "")),
            str(body["prompt"]),
            int(body.get("max_tokens", 16)),
            bool(body.get("stream", False)),
            int(body.get("offset", 0)),
            int(body.get("priority", 0)),
        )


class Run:
    """One request on the engine; its events go to ``sink``."""

    def __init__(self, request: Request, received: float):
        self.request = request
        self.sink: asyncio.Queue = asyncio.Queue()
        self.next_index = request.offset
        self.started: float | None = None
        self.entry = {
            "id": request.id,
            "adapter": request.adapter,
            "version": request.version,
            "base_model": request.base_model,
            "prompt": prompt_hash(request.prompt),
            "offset": request.offset,
            "priority": request.priority,
            "received": received,
            "started": None,
            "ended": None,
            "tokens": 0,
            "cancelled": False,
            "outcome": "",
        }

    @property
    def ended(self) -> bool:
        """Whether the run has ended, well or not."""
        return bool(self.entry["outcome"])

    def head(self) -> dict:
        """Return the first event of the answer."""
        request = self.request
        return {
            "id": request.id,
            "adapter": request.adapter,
            "version": request.version,
            "offset": request.offset,
        }

    def step(self, now: float) -> bool:
        """Make one token; True when it was the last."""
        if self.started is None:
            self.started = self.entry["started"] = now
            self.sink.put_nowait(self.head())
        request = self.request
        if self.next_index < request.max_tokens:
            text = token_text(
                request.prompt, request.adapter, request.version, self.next_index
            )
            self.sink.put_nowait({"i": self.next_index, "t": text})
            self.next_index += 1
            self.entry["tokens"] += 1
        return self.next_index >= request.max_tokens

    def end(self, now: float, outcome: str) -> None:
        """End the run; only ``done`` sends the event that makes it whole."""
        if self.ended:
            return
        self.entry["ended"] = now
        self.entry["outcome"] = outcome
        if outcome == "done":
            self.sink.put_nowait({"done": True, "count": self.next_index})
        self.sink.put_nowait(None)


class Batch:
    """Continuous batching: each step gives up to ``size`` runs one token.

    The runs with the greatest priority go first, then the earliest received. Slots
    in the batch are kept until a run ends; the fill of steps is averaged over the
    newest 200.
    """

    def __init__(self, size: int):
        self.size = size
        self.running: list[Run] = []
        self.queued: list[Run] = []
        self.steps = 0
        self._fills: deque[float] = deque(maxlen=200)

    @property
    def step_fill(self) -> float:
        """The mean share of the batch that recent steps used, from 0 to 1."""
        return sum(self._fills) / len(self._fills) if self._fills else 0.0

    @property
    def runs(self) -> list[Run]:
        """All runs, in the batch or waiting for it."""
        return self.running + self.queued

    def add(self, run: Run) -> None:
        """Queue a run for the batch."""
        self.queued.append(run)
        self.queued.sort(key=lambda r: (-r.request.priority, r.entry["received"]))

    def step(self, now: float) -> list[Run]:
        """Run one step; return the runs that it completed."""
        self.drop_ended()
        while self.queued and len(self.running) < self.size:
            self.running.append(self.queued.pop(0))
        if not self.running:
            return []
        self.steps += 1
        self._fills.append(len(self.running) / self.size)
        return [run for run in list(self.running) if run.step(now)]

    def drop_ended(self) -> None:
        """Free the places of runs that have ended."""
        self.running = [run for run in self.running if not run.ended]
        self.queued = [run for run in self.queued if not run.ended]

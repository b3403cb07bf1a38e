"""Small histories: for each rule one that keeps it, and some that break it just so.

A history is written as the calls of one ``Writer``, whose defaults are a plain request
that arrives, runs and is answered by its target.
"""

import conformance.response_rules
import conformance.run_rules  # noqa: F401  They enter their rules.
from conformance.judge import judge
from conformance.records import (
    Answer,
    AnswerEnd,
    Arrival,
    Extra,
    History,
    Leaving,
    Received,
    RouteRule,
    Run,
    Sent,
    Trouble,
    Unsolicited,
    digest,
)

ROUTES = (
    RouteRule(0.0, "/safe/", ["plain"], False, True, False),
    RouteRule(0.0, "/safe/deep/", ["other"], False, True, False),
    RouteRule(0.0, "/unsafe/", ["other"], False, False, False),
    RouteRule(0.0, "/recap/", ["scribe"], True, False, False),
    RouteRule(0.0, "/ruling/", ["scribe"], True, False, True),
)
BODY = b"the body of the response"
HEADERS = ["daka/a1", "100,40", "5c1e:60"]
CLOSED = digest(b"a request's body")


def event(writer: str, number: int) -> str:
    """Return the digest of one event of a run."""
    return digest(f"{writer} {number}".encode())


class Writer:
    """Writes a history, a hundredth of a second between its records."""

    def __init__(self):
        self._records = list(ROUTES)
        self.at = 1.0

    @property
    def history(self) -> History:
        """What was written."""
        return History(self._records)

    def add(self, kind, *values, **more) -> None:
        """Add a record at the next moment."""
        self.at += 0.01
        self._records.append(kind(self.at, *values, **more))

    def send(self, request="r1", path="/safe/1", first="", after=0) -> None:
        """A caller sends a request."""
        fixed = ("1.1", "POST", path, HEADERS, CLOSED)
        self.add(Sent, request, "c1#1", "edge-1", *fixed, first, after)

    def arrive(
        self,
        arrival=1,
        request="r1",
        path="/safe/1",
        target="t1",
        service="plain",
        software="v1",
        **changed,
    ) -> None:
        """A request reaches a target."""
        fields = {"method": "POST", "path": path, "headers": HEADERS, "body": CLOSED}
        fields |= changed
        port = f"{target}#1"
        self.add(Arrival, arrival, target, service, software, port, request, **fields)

    def run(self, arrival=1) -> None:
        """The target begins to run it."""
        self.add(Run, arrival)

    def answer(self, arrival=1, status=200, body=BODY, sent=100, seal=True) -> None:
        """The target sends ``sent`` of the 100 bytes of its response."""
        seal = f"seal-{arrival}" if seal else ""
        size = len(body)
        self.add(
            Answer, arrival, status, seal, digest(body), size, "length", "sent whole"
        )
        self.add(AnswerEnd, arrival, sent, 100, "whole" if sent == 100 else "cut")

    def stream(self, arrival=1, number=1, last=4, sent=100) -> None:
        """The target sends a stream from an event's number to the last one."""
        events = [event(str(arrival), each) for each in range(number, last + 1)]
        fields = (200, f"seal-{arrival}", digest(b"events"), 400, "chunked", "")
        self.add(Answer, arrival, *fields, events, number)
        self.add(AnswerEnd, arrival, sent, 100, "whole" if sent == 100 else "cut")

    def receive(
        self,
        request="r1",
        status=200,
        body=BODY,
        seal="seal-1",
        names=None,
        complete=True,
    ) -> None:
        """The caller gets a response."""
        names = request if names is None else names
        rest = ("length", complete, digest(body), len(body))
        self.add(Received, request, "c1#1", status, seal, names, *rest)

    def receive_events(
        self, events, request="r1", complete=True, seal="seal-1", tail=0
    ) -> None:
        """The caller gets events, pairs of the arrival that wrote it and its number."""
        pairs = [[number, event(str(writer), number)] for writer, number in events]
        rest = ("chunked", complete, digest(b""), 100 * len(pairs), pairs, tail)
        self.add(Received, request, "c1#1", 200, seal, request, *rest)

    def extra(self, arrival=1) -> None:
        """The target sends bytes of another response ahead of this one's."""
        self.add(Extra, "t1#1", arrival, "100 bytes late")

    def idle_bytes(self, request="r1") -> None:
        """Bytes come on the caller's idle connection."""
        self.add(Unsolicited, "c1#1", request, "b'HTTP/1.1'")

    def leave(self, target="t1") -> None:
        """The store accepts that a target leaves."""
        self.add(Leaving, target, "its entry was removed")

    def trouble(self, kind="vm", subject="edge-1", lasted_s=0.5) -> None:
        """A disturbance ends that has lasted for so long."""
        self._records.append(
            Trouble(self.at - lasted_s, self.at, kind, subject, "vms-stopped")
        )


def states(writer):
    """Return the state of each rule."""
    return {verdict.rule: verdict.state for verdict in judge(writer.history)}


def broken(writer):
    """Return the names of the rules that were broken."""
    return {name for name, state in states(writer).items() if state == "broken"}


def exchange(path="/safe/1", service="plain", **answer):
    """Return a history up to the response of a target, which came beside a copy."""
    writer = Writer()
    writer.send(path=path)
    writer.arrive(path=path, service=service)
    writer.run()
    writer.extra()
    writer.answer(**answer)
    return writer


def streamed(path="/recap/1", last=4, sent=100):
    """Return a history up to the stream of a target, which came beside a copy."""
    writer = Writer()
    writer.send(path=path)
    writer.arrive(path=path, service="scribe")
    writer.run()
    writer.extra()
    writer.stream(last=last, sent=sent)
    return writer


def pieces(*numbers, writer=1):
    """Return events of one arrival."""
    return [(writer, number) for number in numbers]

"""Time lines of single requests: who sent what to whom, on which connection.

::

    print("\\n".join(time_line(Index(history), "00010002")))
"""

from .judge import Index
from .records import (
    Answer,
    AnswerEnd,
    Arrival,
    Extra,
    Leaving,
    Received,
    Run,
    Sent,
    Unsolicited,
)


def time_line(index: Index, request: str) -> list[str]:
    """Return the lines of a request, and of the stream that it takes up."""
    sent = index.sent.get(request)
    requests = {request, sent.first} - {""} if sent is not None else {request}
    numbers = {each.arrival for one in requests for each in index.arrived(one)}
    targets = {index.arrivals[number].target for number in numbers}
    lines = []
    for record in sorted(index.history, key=lambda each: each.at):
        concerned = (
            getattr(record, "request", None) in requests
            or getattr(record, "arrival", None) in numbers
            or (isinstance(record, Leaving) and record.target in targets)
        )
        if concerned:
            words = WORDS[type(record)](record)
            lines.append(f"    {record.at - index.start:9.3f} s  {words}")
    return lines


def _sent(each: Sent) -> str:
    taken = f", takes up {each.first} after {each.after}" if each.first else ""
    return (
        f"caller sends {each.request} {each.method} {each.path} HTTP/{each.version}"
        f" to {each.vm} on {each.connection}{taken}"
    )


def _arrival(each: Arrival) -> str:
    meant = ""
    if each.expected not in ("", each.target):
        meant = f", meant for {each.expected}"
    return (
        f"{each.request} reaches {each.target} ({each.service}, {each.software}){meant}"
        f" on {each.connection} as arrival {each.arrival}"
    )


def _answer(each: Answer) -> str:
    return (
        f"arrival {each.arrival}: {each.status}, {each.framing}, {each.size} bytes,"
        f" seal {each.seal or 'none'}; {each.plan}"
    )


def _received(each: Received) -> str:
    seal, names = each.seal or "none", each.names or "none"
    events = ""
    if each.events:
        events = f", events {each.events[0][0]} to {each.events[-1][0]}"
    complete = "complete" if each.complete else "not complete"
    return (
        f"caller receives {each.status} on {each.connection}, framing {each.framing},"
        f" {complete}, {each.size} bytes{events},"
        f" seal {seal}, names {names}"
    )


WORDS = {
    Sent: _sent,
    Arrival: _arrival,
    Run: lambda each: f"arrival {each.arrival} runs",
    Answer: _answer,
    AnswerEnd: lambda each: (
        f"arrival {each.arrival}: {each.sent} of {each.size} bytes sent, {each.how}"
    ),
    Extra: lambda each: f"target sends on {each.connection}: {each.what}",
    Received: _received,
    Unsolicited: lambda each: f"bytes on idle {each.connection}: {each.start}",
    Leaving: lambda each: f"{each.target} leaves: {each.how}",
}

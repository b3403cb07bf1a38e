"""Journals of the soak over the gateway that keep or break one rule, for its tests.

``journal`` returns one in which every rule was kept and put to the test. The others add
to it, or change one thing in it.
"""

from .soak_gateway_records import (
    CUT_FROM_TARGETS,
    Arrival,
    Away,
    Journal,
    LostWrites,
    OrderSeen,
    OwnEnd,
    PlaceCounts,
    Probe,
    PromptCrash,
    Run,
    Sent,
    SoftwareStart,
    Stopped,
    Told,
    Trouble,
    Written,
)

MODEL = "tide/a1"
ENDED = OwnEnd("vm-1", 7, -1, 50.0)
# One that breaks a rule with some patience, once more than it allows.
TOO_OFTEN = 11


def sent(kind="unsafe", name="r1", **changes):
    """Return a whole answer as its caller saw it, sent at 100 s."""
    stream = kind in ("stream", "resume")
    fields = {"kind": kind, "request_id": name, "method": "POST", "path": f"/{kind}/x"}
    fields |= {"model": MODEL if stream else "", "tokens": "9,3" if stream else ""}
    fields |= {"content": "c", "vm": "vm-1", "process_id": 7, "sent_at": 100.0}
    fields |= {"deadline_s": 6.0, "head_at": 100.1, "ended_at": 100.2, "status": 200}
    fields |= {"outcome": "whole", "seal": f"s-{name}", "answered_id": name}
    fields |= {"events": (1, 2, 3)} if stream else {"body": b"all of it"}
    return Sent(**(fields | changes))


def run(of, **changes):
    """Return the run that answered a request."""
    service = {"stream": "llm", "resume": "llm"}.get(of.kind, "plain")
    fields = {"target": "i-1", "service": service, "started_ms": 1, "vm": "vm-1"}
    fields |= {"request_id": of.request_id, "seal": f"s-{of.request_id}"}
    fields |= {"asked": (of.method, of.path, of.model, of.tokens, of.content)}
    fields |= {"adapter": of.model.partition("/")[2], "version": 2, "software": "v1"}
    fields |= {"arrived_at": 100.0, "begun_at": 100.05}
    made = Run(**(fields | {k: v for k, v in changes.items() if k in fields}))
    made.ended_at, made.outcome, made.status = 100.15, "done", 200
    made.body = b"all of it"
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def order(at=50.0, vm="vm-1", fence=1, **changes):
    """Return an order that an engine carried out."""
    fields = {"started_ms": 1, "holder": vm, "order": "load a1", "named_count": 0}
    fields |= {"found_count": 0, "status": 202, "late": False, "target": "i-1"}
    return OrderSeen(at=at, vm=vm, fence=fence, **(fields | changes))


def refused(name="r9", status=503, **changes):
    """Return a request that was refused, unrun."""
    fields = {"outcome": "refused", "status": status, "seal": "", "body": b""}
    return sent(name=name, **(fields | changes))


def left(name="r8", **changes):
    """Return a request whose caller left."""
    return sent("safe", name, outcome="left", status=0, seal="", **changes)


def written(name="config", version=1, at=1.0, **routes):
    """Return what the operator wrote."""
    return Written(name, version, at, routes)


def cut(name="r1", kind="unsafe", **changes):
    """Return a request whose connection broke."""
    fields = {"outcome": "broken", "status": 0, "seal": "", "events": ()}
    return sent(kind, name, **(fields | changes))


def told(notice, amount=1.0, vm="vm-1"):
    """Return a target's word to a VM, of which it says each from 100 s on."""
    return Told(f"i-{notice}", vm, notice, amount, 100.0, 100.1)


def arrival(at, notice, vm="vm-1", name="r7"):
    """Return an arrival at the target that gives a notice."""
    return Arrival(f"i-{notice}", vm, name, at)


def arrived(*arrivals):
    """Return a journal in which a request of 103 s reached these targets."""
    made = more_sent(sent("safe", "r7", sent_at=103.0, ended_at=104.0))
    made.arrivals += arrivals
    return made


def resuming(name, **changes):
    """Return a request that resumes a stream."""
    fields = {"resumes": "r3", "last_event": 2, "events": (3,)}
    fields |= {"sent_at": 101.0, "ended_at": 101.2}
    return sent("resume", name, **(fields | changes))


def refused_resumes(count, tries=1, **changes):
    """Return streams that were refused so many times as they were taken up again."""
    fields = {"outcome": "refused", "status": 503, "seal": "", "events": ()}
    origins = [sent("resume", f"o{n}", content=f"c{n}") for n in range(count)]
    asked = []
    for origin in origins:
        for n in range(tries):
            name = f"{origin.request_id}-{n}"
            of = {"resumes": origin.request_id, "content": origin.content}
            asked.append(resuming(name, **(fields | of | changes)))
    return more_sent(*origins, *asked, runs=[run(each) for each in origins])


def resumed_at_last(count):
    """Return streams that went on at the third try to take them up."""
    made = refused_resumes(count, tries=2)
    made.sent += [
        resuming(f"l{n}", resumes=f"o{n}", content=f"c{n}") for n in range(count)
    ]
    return made


def behind_cut(name, vm, **changes):
    """Return a request that was sent while vm-1 had no paths to targets."""
    return sent("safe", name, vm=vm, sent_at=303.5, ended_at=303.6, **changes)


def behind_cuts(count, **changes):
    """Return requests to a VM without paths, beside one that another VM served."""
    asked = [behind_cut(f"b{n}", "vm-1", **changes) for n in range(count)]
    return more_sent(behind_cut("b-other", "vm-2"), *asked)


def behind_two_cuts(count):
    """Return requests to two VMs without paths, each of which refused so many."""
    made = behind_cuts(count, outcome="refused", status=503)
    made.troubles.append(made.troubles[0]._replace(subject="vm-3>targets"))
    asked = [behind_cut(f"b3-{n}", "vm-3", outcome="broken") for n in range(count)]
    made.sent += asked
    return made


def after_crashes(count, **changes):
    """Return requests with a part that crashed five engines, from 3.5 s after that."""
    fields = {"outcome": "broken", "part": "bad1", "sent_at": 124.5, "ended_at": 125}
    asked = [sent("stream", f"p{n}", **(fields | changes)) for n in range(count)]
    made = more_sent(*asked)
    made.prompt_crashes = [PromptCrash("bad1", "i-9", 117.0 + n) for n in range(5)]
    made.arrivals += [Arrival("i-9", "vm-1", each.request_id, 124.5) for each in asked]
    return made


def quarantined(**changes):
    """Return a sound request that was refused for its prompt."""
    body = b"the prompt part 5c was at 2 targets as they crashed"
    fields = {"kind": "stream", "events": (), "sent_at": 104.0, "ended_at": 104.1}
    return more_sent(refused("r7", body=body, **(fields | changes)))


def journal(**changes):
    """Return the journal of a run in which every rule was kept and tested."""
    resumed = sent("resume", "r3")
    moved = sent("moved", "r4")
    asked = [sent(), sent("stream", "r2"), resumed, moved, refused(), left()]
    made = Journal()
    made.sent = asked
    made.runs = [run(each) for each in (*asked[:2], moved, asked[5])]
    first = run(resumed, seal="s-0", outcome="cut", ended_at=100.06)
    made.runs += [first, run(resumed, target="i-2", begun_at=100.1, last_event=1)]
    made.software = [SoftwareStart(f"i-{n}", "llm", "v1", 1.0) for n in (1, 2)]
    made.sent.append(resuming("r11"))
    made.runs.append(run(made.sent[-1], begun_at=101.05, last_event=2))
    made.orders = [order(), order(70.0, "vm-2", 2)]
    made.loads, made.log_lines = 3, 9
    made.written = [written(moved="other"), written(version=3, at=9.0, moved="plain")]
    made.written.append(written("a1", 2, 20.0))
    made.away = [Away("i-3", 99.0, 105.0)]
    made.told = [told("limit", 2.0), told("leaving"), told("rest", 3.0)]
    made.told.append(Told("i-limit", "vm-1", "limit", 2.0, 100.0, 105.0))
    made.arrivals = [arrival(103.5, "limit")]
    made.stopped = [Stopped("vm-1", 7, 100.1, 104.0, 0)]
    made.sent.append(refused("r12", kind="resume"))
    made.prompt_crashes = [PromptCrash("bad1", "i-9", 110.0)]
    made.sent.append(refused("r13", kind="stream", part="bad1", sent_at=111.0))
    made.sent.append(sent("stream", "r14", sent_at=104.0, ended_at=104.2))
    made.runs.append(run(made.sent[-1]))
    made.probes = [Probe("vm-1", "safe", True, "")]
    made.place_counts = [PlaceCounts("vm-1", 0, {"engine granted": 1})]
    made.troubles = [Trouble(CUT_FROM_TARGETS, "vm-1>targets", 300.0, 306.0)]
    made.sent.append(behind_cut("r10", "vm-1"))
    made.runs.append(run(made.sent[-1]))
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def more_sent(*added, runs=()):
    """Return a journal with further requests and their runs."""
    made = journal()
    made.sent += added
    made.runs += runs
    return made


def troubled(made, *troubles):
    """Return a journal with other troubles."""
    made.troubles = [Trouble(*each) for each in troubles]
    return made


def with_trouble(made, *troubles):
    """Return a journal with further troubles."""
    made.troubles += [Trouble(*each) for each in troubles]
    return made


def turns(*orders):
    """Return a journal with other orders."""
    return journal(orders=list(orders))


def away_run(**changes):
    """Return a run by a target 3 s after its entry said that it leaves."""
    of = sent("safe", "r7", sent_at=102.0, ended_at=102.3)
    arrived = {"arrived_at": 102.1, "begun_at": 102.1, "ended_at": 102.2}
    return more_sent(of, runs=[run(of, target="i-3", **(arrived | changes))])


def losing_writes(made, *lost):
    """Return a journal in which the store lost what was written in some stretches."""
    made.lost_writes = [LostWrites(*each) for each in lost]
    return made


def at_two_engines():
    """Return a stream that goes on at i-2 while vm-1 has it run at i-3 still."""
    return more_sent(
        runs=[run(sent("resume", "r3"), target="i-3", ended_at=101.0)],
    )


def cuts(count):
    """Return requests that were cut at a sound target, with their runs."""
    asked = [cut(f"k{n}", process_id=8) for n in range(count)]
    return more_sent(*asked, runs=[run(each, ended_at=None) for each in asked])


def working_on(count):
    """Return requests whose callers left and whose targets work on."""
    asked = [left(f"w{n}") for n in range(count)]
    return more_sent(*asked, runs=[run(each, ended_at=104.0) for each in asked])


def denied(count):
    """Return requests that were refused as unknown."""
    return more_sent(*(refused(f"d{n}", 404, kind="safe") for n in range(count)))


def of_kind(kind="unsafe", run_changes=None, **changes):
    """Return a journal with one more request of a kind, and its run."""
    asked = sent(kind, "r7", **changes)
    return more_sent(asked, runs=[run(asked, **(run_changes or {}))])

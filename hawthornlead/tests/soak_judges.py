"""Judges of the long run: what callers were told against what truly happened.

Each judge looks at one line that must always hold. It counts how often the run put
that line to the test, and names every case in which it did not hold::

    verdict = JUDGES["not-run"](records)
    assert verdict.exercised and not verdict.broken
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .soak_records import Records, Told, refused_for_certain
from .standins.engine_runs import prompt_hash, whole_text

# What the run itself may be late by when it compares moments: polls of the status
# and a busy machine. It only widens bounds in time, no other judge uses it.
SLACK_S = 0.5
CRASHES_AT_MOST = 3


class Verdict(NamedTuple):
    """How often a line was put to the test, and where it did not hold."""

    exercised: int
    broken: tuple[str, ...]


Judge = Callable[[Records], Verdict]
JUDGES: dict[str, Judge] = {}


def judge(name: str) -> Callable[[Judge], Judge]:
    """Enter a judge under the name of its line."""

    def enter(function: Judge) -> Judge:
        JUDGES[name] = function
        return function

    return enter


@judge("right-version")
def right_version(records: Records) -> Verdict:
    """Whole answers name the adapter version that their bundle assigns."""
    exercised, broken = 0, []
    digests = _digests(records)
    for told in _completions(records):
        table = records.assigned.get(digests.get(told.bundle, ""))
        if table is None:
            broken.append(f"{told.request_id}: bundle {told.bundle} is unknown")
            continue
        exercised += 1
        wanted = table.get((told.caller, told.alias))
        if wanted != (told.adapter, told.version):
            found = f"{told.adapter}@{told.version}"
            broken.append(f"{told.request_id}: {found} where {wanted} is assigned")
    return Verdict(exercised, tuple(broken))


@judge("ran-as-told")
def ran_as_told(records: Records) -> Verdict:
    """The engine's record of each attempt names what its request was assigned."""
    exercised, broken = 0, []
    told_by_id = {told.request_id: told for told in _completions(records)}
    for engine, run in _runs(records):
        told = told_by_id.get(_request_id(run["id"]))
        if told is None:
            continue
        exercised += 1
        same = (run["adapter"], run["version"], run["prompt"])
        if same != (told.adapter, told.version, prompt_hash(told.prompt)):
            broken.append(f"{engine}: {run['id']} ran as {same}")
    return Verdict(exercised, tuple(broken))


@judge("whole-and-own")
def whole_and_own(records: Records) -> Verdict:
    """Each whole answer is the caller's own, token for token."""
    exercised, broken = 0, []
    for told in records.told:
        if not told.whole:
            continue
        exercised += 1
        if told.form == "service":
            if told.received != told.prompt:
                broken.append(f"{told.request_id}: answer of {told.received[:40]}")
            continue
        wanted = whole_text(told.prompt, told.adapter, told.version, told.max_tokens)
        if told.text != wanted or told.count != told.max_tokens:
            broken.append(f"{told.request_id}: {told.count} tokens, not its own text")
        if told.form == "stream" and told.indexes != tuple(range(told.max_tokens)):
            broken.append(f"{told.request_id}: token indexes {told.indexes[:50]}")
    return Verdict(exercised, tuple(broken))


@judge("not-run")
def not_run(records: Records) -> Verdict:
    """No target has a run of a request whose caller was told 'not run'."""
    exercised, broken = 0, []
    ran = _attempts_run(records)
    for told in records.told:
        if told.ran != "not run" or not told.request_id:
            continue
        exercised += 1
        if told.request_id in ran:
            where = ran[told.request_id]
            broken.append(f"{told.request_id}: {told.outcome}, but ran on {where}")
    return Verdict(exercised, tuple(broken))


@judge("at-most-once")
def at_most_once(records: Records) -> Verdict:
    """Each idempotency key ran at most once, over all tries and VMs."""
    exercised, broken = 0, []
    keys = Counter(told.key for told in records.told if told.key)
    hashes = {
        prompt_hash(told.prompt): told.key
        for told in records.told
        if told.key and told.form != "service"
    }
    runs: dict[str, list[str]] = defaultdict(list)
    for name, call in _calls(records):
        if call["ran"] and call["key"]:
            runs[call["key"]].append(f"{name}:{call['attempt']}")
    for name, run in _runs(records):
        if run["prompt"] in hashes:
            runs[hashes[run["prompt"]]].append(f"{name}:{run['id']}")
    for key, tries in keys.items():
        # A key that was tried once and ran once puts nothing to the test.
        exercised += tries > 1
        if len(runs[key]) > 1:
            broken.append(f"{key}: {tries} tries, ran {runs[key]}")
    return Verdict(exercised, tuple(broken))


@judge("one-outcome")
def one_outcome(records: Records) -> Verdict:
    """All whole answers under one key are the same answer."""
    exercised, broken = 0, []
    answers: dict[str, set[str]] = defaultdict(set)
    for told in records.told:
        if told.key and told.whole:
            exercised += told.replayed
            answers[told.key].add(told.text)
    for key, texts in answers.items():
        if len(texts) > 1:
            broken.append(f"{key}: {len(texts)} different answers")
    return Verdict(exercised, tuple(broken))


@judge("no-eviction-under-run")
def no_eviction_under_run(records: Records) -> Verdict:
    """No engine evicted an adapter that a running request used."""
    exercised, broken = 0, []
    for name, record in records.engines.items():
        exercised += record["counts"].get("evictions", 0)
        for violation in record["violations"]:
            broken.append(f"{name}: {violation}")
    return Verdict(exercised, tuple(broken))


@judge("allowance")
def allowance(records: Records) -> Verdict:
    """Loads never exceed the weight store's rate or number at once."""
    exercised, broken = 0, []
    for name, record in records.weights.items():
        exercised += record["total"]
        for fault in ("over_rate", "over_concurrency"):
            if record[fault]:
                broken.append(f"{name}: {fault} {record[fault]} times")
    return Verdict(exercised, tuple(broken))


@judge("one-bundle-per-number")
def one_bundle_per_number(records: Records) -> Verdict:
    """A bundle's sequence number stands for one digest, on every VM."""
    seen: dict[int, set[str]] = defaultdict(set)
    for status in records.statuses:
        if status.seq:
            seen[status.seq].add(status.digest)
    for roll in records.rolls:
        if roll.seq:
            seen[roll.seq].add(roll.digest)
    broken = [f"{seq}: {found}" for seq, found in seen.items() if len(found) > 1]
    return Verdict(max(0, len(seen) - 1), tuple(broken))


@judge("conflicting-rolls")
def conflicting_rolls(records: Records) -> Verdict:
    """Of orders that expect the same number in force, at most one is accepted."""
    orders = Counter(roll.expected for roll in records.rolls)
    accepted: dict[int, set[str]] = defaultdict(set)
    broken = []
    for roll in records.rolls:
        if roll.seq:
            accepted[roll.expected].add(roll.digest)
            if roll.seq <= roll.expected:
                broken.append(f"accepted as {roll.seq} after {roll.expected}")
    for expected, digests in accepted.items():
        if len(digests) > 1:
            broken.append(f"after {expected}: {sorted(digests)} were accepted")
    return Verdict(sum(1 for each in orders.values() if each > 1), tuple(broken))


@judge("rolls-as-told")
def rolls_as_told(records: Records) -> Verdict:
    """A bundle whose roll was refused for certain is in force nowhere."""
    in_force = {status.digest for status in records.statuses}
    accepted = {roll.digest for roll in records.rolls if roll.seq}
    exercised, broken = 0, []
    for roll in records.rolls:
        if roll.seq:
            exercised += 1
            if roll.digest not in in_force:
                broken.append(f"accepted as {roll.seq}, seen nowhere")
            continue
        certain = refused_for_certain(roll.output)
        exercised += certain
        if certain and roll.digest in in_force - accepted:
            broken.append(f"in force, but its operator was told: {roll.output}")
    return Verdict(exercised, tuple(broken))


@judge("never-reverts")
def never_reverts(records: Records) -> Verdict:
    """Once a VM answered under a bundle, later requests there see no older one."""
    moments: dict[str, list[tuple[float, int, int, str]]] = defaultdict(list)
    for told in records.told:
        if not told.bundle or told.replayed:
            continue
        # An end comes before a beginning of the same moment: it binds it.
        moments[told.vm].append((told.sent_at, 1, told.bundle, told.request_id))
        moments[told.vm].append((told.head_at, 0, told.bundle, told.request_id))
    for status in records.statuses:
        moments[status.vm].append((status.at, 0, status.seq, "status"))
    exercised, broken = 0, []
    for vm, points in moments.items():
        highest = 0
        for _, begins, seq, name in sorted(points):
            if not begins:
                highest = max(highest, seq)
                continue
            exercised += 1
            if seq < highest:
                broken.append(f"{vm}: {name} under {seq} after {highest}")
    return Verdict(exercised, tuple(broken))


@judge("old-bundle-dies")
def old_bundle_dies(records: Records) -> Verdict:
    """DOUBT_S after acceptance, no VM takes a request under an older bundle."""
    accepted: dict[int, float] = {}
    known = [(roll.at, roll.seq) for roll in records.rolls if roll.seq]
    known += [(status.at, status.seq) for status in records.statuses if status.seq]
    for at, seq in known:
        accepted[seq] = min(at, accepted.get(seq, at))
    exercised, broken = 0, []
    bounds = sorted((at + records.doubt_s + SLACK_S, s) for s, at in accepted.items())
    for told in records.told:
        if not told.bundle or told.replayed:
            continue
        due = max((seq for at, seq in bounds if at < told.sent_at), default=0)
        exercised += due > 1
        if told.bundle < due:
            late = told.sent_at - accepted[due]
            broken.append(
                f"{told.vm}: {told.request_id} under {told.bundle}, "
                f"{late:.2f} s after {due} was accepted"
            )
    return Verdict(exercised, tuple(broken))


@judge("shutdown-cuts-nothing")
def shutdown_cuts_nothing(records: Records) -> Verdict:
    """A VM asked to stop ends every request that was in flight."""
    exercised, broken = 0, []
    asked = {each.process_id: each for each in records.drained}
    for told in records.told:
        drained = asked.get(told.process_id)
        if drained is None or told.outcome in ("left", "unconnected"):
            continue
        if told.ended_at < drained.asked_at or told.sent_at > drained.asked_at:
            continue
        exercised += 1
        if told.outcome == "broken":
            broken.append(f"{told.vm}: {told.request_id or told.prompt} was cut")
    for drained in records.drained:
        if drained.exit_code != 0:
            broken.append(f"{drained.vm}: exit code {drained.exit_code}")
    return Verdict(exercised, tuple(broken))


@judge("runs-end")
def runs_end(records: Records) -> Verdict:
    """No run goes on that nobody waits for, as after its caller has left."""
    left = sum(1 for told in records.told if told.outcome == "left")
    broken = [
        f"{name}: {run['id']} still runs"
        for name, run in _runs(records)
        if not run["outcome"]
    ]
    return Verdict(left, tuple(broken))


@judge("cut-only-with-cause")
def cut_only_with_cause(records: Records) -> Verdict:
    """An answer ends without a word only where its VM was killed or frozen."""
    exercised, broken = 0, []
    for told in records.told:
        exercised += bool(told.head_at)
        if told.outcome not in ("broken", "malformed"):
            continue
        if told.outcome == "broken" and _was_hurt(told, records):
            continue
        broken.append(f"{told.vm}: {told.request_id} {told.outcome}: {told.detail}")
    return Verdict(exercised, tuple(broken))


@judge("crashing-request-bounded")
def crashing_request_bounded(records: Records) -> Verdict:
    """A request that crashes targets takes few of them with it."""
    wanted = {prompt_hash(prompt) for prompt in records.crash_prompts}
    crashed: Counter = Counter()
    for _, run in _runs(records):
        if run["prompt"] in wanted and run["outcome"] == "crashed":
            crashed[run["prompt"]] += 1
    broken = [
        f"{prompt}: {count} targets crashed"
        for prompt, count in crashed.items()
        if count > CRASHES_AT_MOST
    ]
    return Verdict(sum(crashed.values()), tuple(broken))


@judge("program-invariants")
def program_invariants(records: Records) -> Verdict:
    """No VM counted an invariant of its own as broken."""
    broken = {
        f"{status.vm}: {name}"
        for status in records.statuses
        for name in status.invariants_broken
    }
    return Verdict(len(records.statuses), tuple(sorted(broken)))


@judge("recovers")
def recovers(records: Records) -> Verdict:
    """After the last fault has ended, every VM serves again."""
    vms = {status.vm for status in records.statuses}
    return Verdict(len(vms), tuple(records.unready))


def _was_hurt(told: Told, records: Records) -> bool:
    return any(
        hurt.process_id == told.process_id
        and hurt.begun_at - SLACK_S < told.ended_at
        and told.sent_at < hurt.ended_at + SLACK_S
        for hurt in records.hurt
    )


def _digests(records: Records) -> dict[int, str]:
    digests = {status.seq: status.digest for status in records.statuses}
    return digests | {roll.seq: roll.digest for roll in records.rolls if roll.seq}


def _completions(records: Records) -> Iterator[Told]:
    for told in records.told:
        if told.form != "service" and told.adapter and not told.replayed:
            yield told


def _runs(records: Records) -> Iterator[tuple[str, dict]]:
    for name, record in records.engines.items():
        for run in record["runs"]:
            if run["started"] is not None:
                yield name, run


def _calls(records: Records) -> Iterator[tuple[str, dict]]:
    for name, record in records.services.items():
        for call in record["calls"]:
            yield name, call


def _attempts_run(records: Records) -> dict[str, str]:
    """Return the requests that ran, by id, and where."""
    ran = {_request_id(run["id"]): name for name, run in _runs(records)}
    for name, call in _calls(records):
        if call["ran"]:
            ran[_request_id(call["attempt"])] = name
    return ran


def _request_id(attempt_id: str) -> str:
    return attempt_id.rpartition(".")[0]

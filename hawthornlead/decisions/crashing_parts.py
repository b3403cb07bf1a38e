"""Which part of their prompts makes requests crash the targets that answer them.

Prompts share parts, and one part may crash each target that begins to write an answer
on it, whatever else the prompt holds. A request that a target had not answered for a
moment when it died may have crashed it. Its suspect is the last shared part that no
target has answered yet: earlier parts are shared by more prompts and so are answered
sooner. A part that is the suspect of different requests in ``crashes_to_quarantine``
deaths is quarantined, unless another quarantined part explains these deaths; one answer
on a part, at any VM, clears it::

    evidence = CrashingParts(crashes_to_quarantine=2)
    evidence.record_answered(("a0",), now=1.0)
    parts = ("a0", "bad")
    first, second = UnansweredPrompt(b"1", parts), UnansweredPrompt(b"2", parts)
    evidence.record_death(Death("e1", "1"), [first], now=2.0)
    evidence.record_death(Death("e2", "1"), [second], now=3.0)
    evidence.find_quarantine(parts)

One request that is sent again through two deaths accuses nothing, because sound
requests are sent again too. A quarantined part may be tried by single requests, since
the verdict may be wrong. If all its deaths have other quarantined parts too, it may be
tried soon, and else rarely. After ``MAX_CRASHES`` it is not tried any more.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Container, Iterable
from typing import NamedTuple

from ..messages import UnansweredPrompt

# How long a quarantine lasts, and how long a death is evidence.
EVIDENCE_TTL_S = 86_400.0
# A part that was answered this recently is not accused.
ANSWER_TTL_S = 600.0
# A verdict that another one explains is tried as soon as all VMs know both of them.
EXPLAINED_TRIAL_S = 0.5
# Each trial of a crashing part ends the streams of one target. Few are spent on it, and
# later ones are spread over a day.
FIRST_TRIAL_S = 60.0
TRIAL_BACKOFF_FACTOR = 8.0
# A part that was in this many deaths is not tried again.
MAX_CRASHES = 5
MAX_DEATHS = 256
# The requests of one VM at one target.
MAX_PROMPTS = 256
# More than the parts that one VM's prompts have in ten minutes.
MAX_ANSWERED = 16_384


class Death(NamedTuple):
    """The end of one incarnation of a target."""

    target: str
    incarnation: str


class Quarantine(NamedTuple):
    """A part that crashes targets, and in how many deaths it was the suspect.

    ``trial_at`` is from when on one request with it may be tried, None if none may.
    """

    part: str
    crashes: int
    since: float
    trial_at: float | None


# The deaths of each suspect, and the digests of the requests that accuse it there.
_Suspects = dict[str, dict[Death, set[bytes]]]


class _Evidence(NamedTuple):
    """One death, and the requests that may have caused it, by digest."""

    at: float
    prompts: dict[bytes, tuple[str, ...]]


class _Verdict(NamedTuple):
    """A quarantined part's deaths, and whether others explain all of them."""

    deaths: frozenset[Death]
    explained: bool


class CrashingParts:
    """The evidence against prompt parts, as one VM knows it."""

    def __init__(self, *, crashes_to_quarantine: int):
        self._crashes_to_quarantine = crashes_to_quarantine
        self._deaths: OrderedDict[Death, _Evidence] = OrderedDict()
        self._answered: OrderedDict[str, float] = OrderedDict()
        # The parts of all prompts in the evidence, and those that are suspects.
        self._accused: frozenset[str] = frozenset()
        self._suspected: frozenset[str] = frozenset()
        self._verdicts: dict[str, _Verdict] = {}
        self._since: dict[str, float] = {}
        self._tried_at: dict[str, float] = {}

    @property
    def quarantined(self) -> tuple[Quarantine, ...]:
        """The quarantined parts."""
        return tuple(self._quarantine(part) for part in self._verdicts)

    @property
    def suspected(self) -> frozenset[str]:
        """The parts that are suspects of deaths, quarantined or not."""
        return self._suspected

    # Evidence

    def record_death(
        self,
        death: Death,
        prompts: Iterable[UnansweredPrompt],
        now: float,
        age_s: float = 0.0,
    ) -> tuple[str, ...]:
        """Add a VM's report of a death, which was ``age_s`` ago.

        Return the reported parts that were answered, which the reporting VM may not
        know. Reports of several VMs on one death add up.
        """
        self.expire(now)
        if len(self._deaths) >= MAX_DEATHS and death not in self._deaths:
            self._deaths.popitem(last=False)
        evidence = self._deaths.get(death)
        if evidence is None:
            evidence = _Evidence(now - age_s, {})
        cleared: dict[str, None] = {}
        for prompt in list(prompts)[:MAX_PROMPTS]:
            unanswered = []
            for part in prompt.parts:
                if self.is_answered(part, now):
                    cleared[part] = None
                    continue
                unanswered.append(part)
            if unanswered:
                evidence.prompts[prompt.digest] = tuple(unanswered)
        if evidence.prompts:
            self._deaths[death] = evidence
            self._judge(now)
        return tuple(cleared)

    def record_answered(self, parts: Iterable[str], now: float) -> tuple[str, ...]:
        """Record that a target wrote an answer on parts and lived on.

        Return those that were accused until now.
        """
        accused = []
        for part in parts:
            if part in self._accused and not self.is_answered(part, now):
                accused.append(part)
            self._answered[part] = now
            self._answered.move_to_end(part)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if accused:
            self._clear(frozenset(accused))
            self._judge(now)
        return tuple(accused)

    def expire(self, now: float) -> None:
        """Discard deaths that are too old to be evidence."""
        expired = [
            death
            for death, evidence in self._deaths.items()
            if now >= evidence.at + EVIDENCE_TTL_S
        ]
        for death in expired:
            del self._deaths[death]
        if expired:
            self._judge(now)

    def is_answered(self, part: str, now: float) -> bool:
        """Whether a target lately wrote an answer on a part."""
        answered_at = self._answered.get(part)
        return answered_at is not None and now < answered_at + ANSWER_TTL_S

    def unanswered(self, parts: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the parts on which no target wrote an answer lately."""
        return tuple(part for part in parts if not self.is_answered(part, now))

    # Verdicts

    def find_quarantine(self, parts: Iterable[str]) -> Quarantine | None:
        """Return the quarantine of a prompt, None if no part of it is quarantined.

        If several parts are, none of them may be tried: the trial would not tell which
        of them crashes targets.
        """
        found = [part for part in parts if part in self._verdicts]
        if not found:
            return None
        quarantine = self._quarantine(found[-1])
        if len(found) > 1:
            return quarantine._replace(trial_at=None)
        return quarantine

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Whether a part of a prompt is the suspect of a death."""
        return any(part in self._suspected for part in parts)

    def record_trial(self, part: str, now: float) -> None:
        """Record that a request with a quarantined part is sent to a target."""
        if part in self._verdicts:
            self._tried_at[part] = now

    def against(
        self, suspects: frozenset[str]
    ) -> list[tuple[Death, float, tuple[UnansweredPrompt, ...]]]:
        """Return the deaths that accuse some suspects, their moments and prompts."""
        found = []
        for death, evidence in self._deaths.items():
            prompts = []
            for digest, parts in evidence.prompts.items():
                if parts[-1] in suspects:
                    prompts.append(UnansweredPrompt(digest, (parts[-1],)))
            if prompts:
                found.append((death, evidence.at, tuple(prompts)))
        return found

    def _quarantine(self, part: str) -> Quarantine:
        verdict = self._verdicts[part]
        crashes = len(verdict.deaths)
        since = self._since[part]
        if crashes >= MAX_CRASHES:
            return Quarantine(part, crashes, since, None)
        wait_s = EXPLAINED_TRIAL_S
        if not verdict.explained:
            trials = max(0, crashes - self._crashes_to_quarantine)
            wait_s = FIRST_TRIAL_S * TRIAL_BACKOFF_FACTOR**trials
        waits_from = max(since, self._tried_at.get(part, since))
        return Quarantine(part, crashes, since, waits_from + wait_s)

    def _suspects(self) -> _Suspects:
        """Return the suspects with their deaths and the requests that accuse them."""
        suspects: _Suspects = defaultdict(dict)
        for death, evidence in self._deaths.items():
            for digest, parts in evidence.prompts.items():
                suspects[parts[-1]].setdefault(death, set()).add(digest)
        return suspects

    def _judge(self, now: float) -> None:
        """Decide anew which parts are quarantined."""
        suspects = self._suspects()
        self._suspected = frozenset(suspects)
        self._accused = frozenset(
            part
            for evidence in self._deaths.values()
            for parts in evidence.prompts.values()
            for part in parts
        )
        guilty = self._find_guilty(suspects)
        self._verdicts = {}
        for part, deaths in guilty.items():
            others = frozenset().union(
                *(found for other, found in guilty.items() if other != part)
            )
            self._verdicts[part] = _Verdict(deaths, deaths <= others)
            self._since.setdefault(part, now)
        for part in self._since.keys() - guilty.keys():
            del self._since[part]
            self._tried_at.pop(part, None)

    def _find_guilty(self, suspects: _Suspects) -> dict[str, frozenset[Death]]:
        """Return the parts to quarantine, with all their deaths.

        A death that a quarantined part explains is no evidence against the others that
        were there. Those with the most deaths are found first.
        """
        guilty: dict[str, frozenset[Death]] = {}
        explained: set[Death] = set()
        found = [part for part in self._verdicts if self._stands(suspects, part)]
        found = found or self._most_accused(suspects, explained, guilty)
        while found:
            for part in found:
                guilty[part] = frozenset(suspects[part])
                explained |= guilty[part]
            found = self._most_accused(suspects, explained, guilty)
        return guilty

    def _stands(self, suspects: _Suspects, part: str) -> bool:
        """Whether there are still deaths enough for a quarantine."""
        return len(suspects.get(part, ())) >= self._crashes_to_quarantine

    def _most_accused(
        self, suspects: _Suspects, explained: set[Death], guilty: Container[str]
    ) -> list[str]:
        """Return the parts with the most deaths that aren't explained, if enough."""
        counts: dict[str, int] = {}
        for part, deaths in suspects.items():
            if part in guilty:
                continue
            left = deaths.keys() - explained
            requests = set().union(*(deaths[death] for death in left))
            counts[part] = min(len(left), len(requests))
        most = max(counts.values(), default=0)
        if most < self._crashes_to_quarantine:
            return []
        return [part for part, count in counts.items() if count == most]

    def _clear(self, cleared: frozenset[str]) -> None:
        """Remove answered parts from the evidence."""
        for death, evidence in tuple(self._deaths.items()):
            for digest, parts in tuple(evidence.prompts.items()):
                left = tuple(part for part in parts if part not in cleared)
                if left:
                    evidence.prompts[digest] = left
                    continue
                del evidence.prompts[digest]
            if not evidence.prompts:
                del self._deaths[death]

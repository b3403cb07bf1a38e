"""Which targets a VM asks for a place, in which order, and how long it waits at each.

::

    search = PlaceSearch(("h-1", "h-2"), known={})
    question = search.next_question(left_s=0.8)
    search.record_refusal(question.target, wait_s=0.2)
"""

from typing import NamedTuple

# A shorter wait than this costs less than a question elsewhere.
NEAR_S = 0.03
# Questions of one request at most: those to three targets, and one that waits.
MAX_QUESTIONS = 4


class PlaceQuestion(NamedTuple):
    """Ask for a place at a target, and wait for it ``wait_s`` at most."""

    target: str
    wait_s: float


class PlaceSearch:
    """The search of one request for a place at one of several targets.

    ``targets`` are in the order of preference. ``known`` are expected waits that were
    reported a moment ago; these targets aren't asked for an immediate place. A request
    waits where the shortest wait is expected.
    """

    def __init__(self, targets: tuple[str, ...], known: dict[str, float]):
        self._waits = {each: known[each] for each in targets if each in known}
        self._unasked = [each for each in targets if each not in known]
        self._waited_at: set[str] = set()
        self._asked = 0

    @property
    def expected_s(self) -> float:
        """The shortest expected wait at the targets that refused."""
        return min(self._waits.values(), default=0.0)

    def next_question(self, left_s: float) -> PlaceQuestion | None:
        """Return the next question, None if the request gets no place.

        It waits ``left_s`` at most.
        """
        self._asked += 1
        if self._asked > MAX_QUESTIONS:
            return None
        if self._unasked:
            target = self._unasked.pop(0)
            wait_s = NEAR_S
            if self._waits and not self._unasked:
                # If this wait is shorter than those reported, there is none better.
                wait_s = max(NEAR_S, self.expected_s)
            return PlaceQuestion(target, min(wait_s, left_s))
        waits = {
            target: wait_s
            for target, wait_s in self._waits.items()
            if target not in self._waited_at and wait_s <= left_s
        }
        if not waits:
            return None
        target = min(waits, key=waits.get)
        self._waited_at.add(target)
        return PlaceQuestion(target, left_s)

    def record_refusal(self, target: str, wait_s: float) -> None:
        """Record that a target has no place, and the wait expected for one."""
        self._waits[target] = wait_s

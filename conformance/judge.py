"""The judge of a recorded history: which rules held, broke, or were never tested.

::

    for verdict in judge(History.load(path)):
        print(verdict.line)

A rule is a function of the index of a history. It returns what broke it, and how many
cases put it to the test. A rule without a case is not tested, which isn't held.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from .records import (
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
)


class Breach(NamedTuple):
    """One case that broke a rule; ``request`` names whose time line shows it."""

    request: str
    what: str


class Verdict(NamedTuple):
    """What became of one rule."""

    rule: str
    sentence: str
    cases: int
    breaches: list[Breach]

    @property
    def state(self) -> str:
        """Return ``broken``, ``not tested`` or ``held``."""
        if self.breaches:
            return "broken"
        return "held" if self.cases else "not tested"

    @property
    def line(self) -> str:
        """Return the verdict in one line."""
        counted = f"{len(self.breaches)} of {self.cases} cases"
        return f"{self.rule:8} {self.state:10} {counted:20} {self.sentence}"


class Index:
    """A history by request, arrival, connection and target."""

    def __init__(self, history: History):
        self.history = history
        self.start = min((each.at for each in history), default=0.0)
        self.routes: list[RouteRule] = history.of(RouteRule)
        self.sent: dict[str, Sent] = {each.request: each for each in history.of(Sent)}
        self.received: list[Received] = history.of(Received)
        self.unsolicited: list[Unsolicited] = history.of(Unsolicited)
        self.arrivals: dict[int, Arrival] = {
            each.arrival: each for each in history.of(Arrival)
        }
        self.answers: dict[int, Answer] = {
            each.arrival: each for each in history.of(Answer)
        }
        self.ends: dict[int, AnswerEnd] = {
            each.arrival: each for each in history.of(AnswerEnd)
        }
        self.seals: dict[str, Answer] = {
            each.seal: each for each in self.answers.values() if each.seal
        }
        self.runs: dict[int, Run] = {each.arrival: each for each in history.of(Run)}
        self.extras: list[Extra] = history.of(Extra)
        self.leaving: list[Leaving] = history.of(Leaving)
        self.troubles: list[Trouble] = history.of(Trouble)
        self._arrived: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals.values():
            self._arrived[arrival.request].append(arrival)
        self._extra = {each.arrival for each in self.extras}

    def arrived(self, request: str) -> list[Arrival]:
        """Return the arrivals of a request at targets."""
        return self._arrived.get(request, [])

    def ran(self, request: str) -> list[Arrival]:
        """Return the arrivals of a request that began to run."""
        return [each for each in self.arrived(request) if each.arrival in self.runs]

    def owner(self, answer: Answer) -> str:
        """Return the request that a target's response belongs to."""
        return self.arrivals[answer.arrival].request

    def routes_of(self, path: str) -> list[RouteRule]:
        """Return the routes that a path fits."""
        return [each for each in self.routes if path.startswith(each.prefix)]

    def route(self, path: str) -> RouteRule | None:
        """Return the route of a path: that of the longest prefix."""
        fitting = self.routes_of(path)
        return max(fitting, key=lambda each: len(each.prefix), default=None)

    def is_cut(self, arrival: int) -> bool:
        """Whether a response was not sent to its end."""
        end = self.ends.get(arrival)
        return end is not None and end.sent < end.size

    def is_disturbed(self, request: str) -> bool:
        """Whether a response to a request was cut, failed or came beside others."""
        for arrival in self.arrived(request):
            number = arrival.arrival
            answer = self.answers.get(number)
            if self.is_cut(number) or number in self._extra:
                return True
            if answer is not None and not answer.succeeded:
                return True
        return False

    def had_extra(self, request: str) -> bool:
        """Whether bytes of other responses came where this one's were due."""
        return any(each.arrival in self._extra for each in self.arrived(request))


Rule = Callable[[Index], tuple[int, list[Breach]]]
RULES: dict[str, tuple[str, Rule]] = {}


def rule(name: str, sentence: str) -> Callable[[Rule], Rule]:
    """Enter a function as the judge of a rule."""

    def enter(function: Rule) -> Rule:
        RULES[name] = (sentence, function)
        return function

    return enter


def judge(history: History) -> list[Verdict]:
    """Return the verdict on each rule."""
    index = Index(history)
    verdicts = []
    for name, (sentence, function) in RULES.items():
        cases, breaches = function(index)
        verdicts.append(Verdict(name, sentence, cases, breaches))
    return verdicts

"""A fuzz of the responses of targets, over each path to a caller and control calls.

By hand, with a deployment for each seed::

    scripts/fuzz-responses --first 1 --seeds 50 --requests 260
"""

import asyncio
from collections import Counter
from random import Random
from typing import NamedTuple

import click
from loguru import logger

from hawthornlead.gateway.records import EngineOrder, OrderKind, OrderOutcome

from .fuzz_judge import Got, judge
from .gateways import MODEL, Deployment
from .standins.fuzzed_target import KINDS, FuzzBook, FuzzedTarget, draw_plan
from .test_request_relays import unreaching

# Requests and calls that are under way at a time.
WORKERS = 10
# The longest that a request is sent to targets: its offers.
MOST_SENDS = 4
# Where nothing shows that a response is none, the deadline ends the request.
SHORT_S = 0.25
LONG_S = 15.0
# The VM that reaches no target, and that which serves its requests.
RELAYING, SERVING = 0, 1
PATHS = ("safe", "unsafe", "stream", "resume")
ORDER_STATUSES = {
    202: OrderOutcome.STARTED,
    200: OrderOutcome.HOLDS_ALREADY,
    409: OrderOutcome.CONFLICT,
}


class Case(NamedTuple):
    """A request or a control call, before it is sent."""

    name: str
    kind: str
    vm: int
    plans: list
    engine: int


class Result(NamedTuple):
    """The faults of a run, what was drawn how often, and what callers got."""

    faults: list[str]
    drawn: Counter[str]
    got: Counter[str]

    @property
    def missing(self) -> list[str]:
        """The draws that never came."""
        wanted = [f"kind {kind}" for kind in KINDS]
        wanted += ["framing length", "framing chunks", "framing close", "segments"]
        wanted += ["status 200", "status 500", "status 503 unrun", "status 421 unrun"]
        wanted += ["status 429 unrun", "id own", "id none", "id another"]
        wanted += [f"{kind} at vm {vm}" for kind in PATHS for vm in (0, 1)]
        wanted += ["report at vm 1", "order at vm 1"]
        never = [each for each in wanted if not self.drawn[each]]
        served = [f"{kind} got 200" for kind in PATHS]
        served += ["report got 1", "order got 202", "order got 409"]
        return never + [each for each in served if not self.got[each]]


def draw_case(seed: int, number: int) -> Case:
    """Draw one request or call; each kind comes in turn as its first draw."""
    rng = Random(f"{seed}/{number}")
    kind = rng.choice(PATHS * 3 + ("report", "order"))
    name = f"r{number}" if kind in PATHS else f"call-{number}"
    kinds = [KINDS[number % len(KINDS)]] + rng.choices(KINDS, k=MOST_SENDS - 1)
    plans = [draw_plan(rng, each) for each in kinds]
    vm = SERVING if kind not in PATHS else rng.choice((RELAYING, SERVING))
    if kind not in PATHS:
        status = 200 if kind == "report" else rng.choice(tuple(ORDER_STATUSES))
        plans = [plans[0]._replace(status=status, not_run=False, named="own")]
    return Case(name, kind, vm, plans, rng.randrange(2))


async def run_seed(seed: int, requests: int) -> Result:
    """Run a deployment with fuzzed targets, and judge what its callers got."""
    book = FuzzBook()
    deployment = Deployment(vms=2)
    deployment.engines = [FuzzedTarget(f"e{n}", "llm", book, MODEL) for n in (1, 2)]
    deployment.plains = [FuzzedTarget(f"p{n}", "plain", book) for n in (1, 2)]
    got: list[Got] = []
    async with deployment, unreaching(deployment, RELAYING):
        for gateway in deployment.gateways:
            _overlook_failures(gateway._parts)
        cases = iter([draw_case(seed, number) for number in range(requests)])

        async def work() -> None:
            for case in cases:
                book.plans[case.name] = case.plans
                book.drawn[f"{case.kind} at vm {case.vm}"] += 1
                got.append(await _get(deployment, case))

        await asyncio.gather(*[work() for _ in range(WORKERS)])
    counts = Counter(
        f"{each.kind} got {each.status or min(each.number, 1)}" for each in got
    )
    return Result(judge(got, book.sent), book.drawn, counts)


def _overlook_failures(parts) -> None:
    """Let a VM send requests to targets however often they fail.

    Else most requests are refused unsent, and their draws never come.
    """
    parts.healths.cost_ms = lambda *args: 0.0
    parts.healths.is_suspect = lambda target: False
    for service in ("llm", "plain"):
        parts.budget(service).acquire = lambda: True


async def _get(deployment: Deployment, case: Case) -> Got:
    if case.kind == "report":
        return await _report(deployment, case)
    if case.kind == "order":
        return await _order(deployment, case)
    ends = all(plan.ends for plan in case.plans)
    headers = {"Deadline-Ms": str(int(1000 * (LONG_S if ends else SHORT_S)))}
    if case.kind in ("stream", "resume"):
        headers["Model"] = MODEL
    method = "GET" if case.kind == "safe" else "POST"
    path = f"/{case.kind}/{case.name}"
    headers["Request-Id"] = case.name
    try:
        answer = await deployment.ask(path, method, case.vm, b"", **headers)
    except OSError:
        return Got(case.name, case.kind, 0, whole=False)
    seal = answer.headers.get("Server-Seal", "")
    named = answer.headers.get("Request-Id", "")
    if answer.status == 504 and not ends:
        return Got(case.name, case.kind, 0, whole=False)
    return Got(
        case.name, case.kind, answer.status, seal, answer.body, answer.whole, named
    )


async def _report(deployment: Deployment, case: Case) -> Got:
    calls = deployment.gateways[case.vm]._engine_manager._calls
    read = await calls.report(deployment.engines[case.engine].address, case.name)
    number = read.ok_value.order_count if read.is_ok() else 0
    return Got(case.name, case.kind, 0, number=number)


async def _order(deployment: Deployment, case: Case) -> Got:
    calls = deployment.gateways[case.vm]._engine_manager._calls
    order = EngineOrder(OrderKind.LOAD, MODEL, "a9", 0, -1, "vm-x", 1)
    address = deployment.engines[case.engine].address
    (plan,) = case.plans
    ends = plan.ends and plan.kind != "cut-copied"
    timeout_s = LONG_S if ends else SHORT_S
    begun_at = asyncio.get_running_loop().time()
    outcome = await calls.order(address, case.name, order, lambda: True, timeout_s)
    late = asyncio.get_running_loop().time() - begun_at >= LONG_S
    shown = [each for each, told in ORDER_STATUSES.items() if told is outcome]
    return Got(case.name, case.kind, shown[0] if shown else 0, late=late)


@click.command(help=__doc__.partition("\n")[0])
@click.option("--first", default=1, help="The first seed.")
@click.option("--seeds", default=50, help="How many seeds.")
@click.option("--requests", default=260, help="Requests and calls of each seed.")
@click.option("--until-fault", is_flag=True, help="Stop at the first fault.")
def main(first: int, seeds: int, requests: int, until_fault: bool) -> None:
    """Run seeds, and print their faults and what was drawn how often."""
    logger.remove()
    drawn, got, faults = Counter(), Counter(), 0
    for seed in range(first, first + seeds):
        result = asyncio.run(run_seed(seed, requests))
        drawn, got = drawn + result.drawn, got + result.got
        for fault in result.faults:
            print(f"seed {seed}: {fault}")
        faults += len(result.faults)
        if faults and until_fault:
            break
    for counts in (drawn, got):
        print(", ".join(f"{name}: {count}" for name, count in sorted(counts.items())))
    missing = Result([], drawn, got).missing
    print(f"{seed - first + 1} seeds, {faults} faults, never drawn: {missing}")
    raise SystemExit(bool(faults or missing))


if __name__ == "__main__":
    main()

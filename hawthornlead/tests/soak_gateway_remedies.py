"""What puts rules to the test that the faults of a run of the soak did not.

Each remedy is played once all faults are over, for the rules that nothing has put to
the test yet, so that it adds to what was judged and replaces none of it::

    await play_remedies(world, calm=play_calm)
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import click

from .soak_gateway_callers import Fleet, GatewayCaller
from .soak_gateway_judges import GATEWAY_JUDGES, Case
from .soak_gateway_paths import vms_cut_from_targets
from .soak_gateway_records import CONTACT_S, Journal
from .soak_gateway_world import GatewayWorld

# What is judged by records that only the end of a run brings.
JUDGED_AT_END = frozenset(("no-errors-of-its-own", "waiting-ends", "recovers"))
ROUNDS = 2
# Somewhat longer than a VM has to be left alone until it counts as in touch.
REST_S = CONTACT_S + 0.2
# More streams than make the share that goes on count.
STREAMS_A_VM = 4

Remedy = Callable[[GatewayWorld], Awaitable[None]]


async def play_remedies(
    world: GatewayWorld, calm: Callable[[], Awaitable[None]]
) -> bool:
    """Play remedies until each rule was put to the test, or ``ROUNDS`` are over.

    For a rule without a remedy of its own, ``calm`` is played. Return whether any was.
    """
    played = False
    for _ in range(ROUNDS):
        missing = await untested(world.journal)
        if not missing:
            break
        played = True
        click.echo(f"  put to the test at the end: {sorted(missing)}", err=True)
        await asyncio.sleep(REST_S)
        for name in sorted(missing):
            if name in REMEDIES:
                await REMEDIES[name](world)
        if not missing <= set(REMEDIES):
            await calm()
    return played


async def untested(journal: Journal) -> set[str]:
    """Return the rules that nothing has put to the test yet."""
    case = Case(journal)
    found = set()
    for name, judge in GATEWAY_JUDGES.items():
        # Judging takes a while, and the platform of this process goes on meanwhile.
        await asyncio.sleep(0)
        if name not in JUDGED_AT_END and not judge(case).exercised:
            found.add(name)
    return found


async def streams_taken_up(world: GatewayWorld) -> None:
    """Callers leave streams at each VM and take them up again at once."""
    street = Fleet([], world.fleet.vm_at, world.journal.sent.append)
    asking = []
    for number in range(STREAMS_A_VM):
        for vm in world.fleet.vms.values():
            name = f"again-{len(world.journal.sent)}-{number}-{vm.name}"
            caller = GatewayCaller(name, street, Random(name), leaves=1.0)
            asking.append(caller.take_up(vm.callers))
    await asyncio.gather(*asking)


REMEDIES: dict[str, Remedy] = {
    "served-behind-cuts": vms_cut_from_targets,
    "resumed-streams-go-on": streams_taken_up,
}

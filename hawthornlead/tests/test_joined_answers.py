"""Answers that break off and are followed by another one on the same connection."""

import itertools

from .gateways import Deployment


async def test_no_caller_gets_a_success_where_its_target_failed():
    """Guards against a failure that reaches its caller under another's status."""
    async with Deployment(vms=1) as deployment:
        plain, other = deployment.plains
        deployment.store.remove("servers", other.target)
        known = deployment.gateways[0]._targets.entries
        await deployment.until(lambda: other.target not in known)
        plain.repeats.least = 200
        for place, cut in itertools.product((0, 2), range(1, 90)):
            plain.repeats.id_place, plain.repeats.cut = place, cut
            assert (await deployment.ask("/unsafe/x")).status == 200
            plain.faults.append("fail")
            answer = await deployment.ask("/unsafe/x")
            assert answer.status in (500, 502), cut
        assert plain.repeats.sent >= 170

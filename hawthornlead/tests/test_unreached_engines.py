"""Engines whose owner loses its paths to them."""

from .cut_paths import Cut, cut_paths
from .gateways import MODEL, Deployment


async def test_an_engine_gets_another_owner_when_its_owner_reaches_no_target():
    """Guards against loads that fail for all VMs as long as one VM is cut off."""
    async with Deployment(vms=3) as deployment:
        engine = deployment.engines[0]
        owner_name = deployment.gateways[0]._targets.owner(engine.target)
        names = [each._memberships.vm for each in deployment.gateways]
        owner = names.index(owner_name)
        other = (owner + 1) % 3
        targets = deployment.engines + deployment.plains
        first = {"Model": f"{MODEL}/a1", "vm": owner}
        assert (await deployment.ask("/stream/x", **first)).status == 200
        async with cut_paths(deployment.gateways[owner], targets, Cut.RESET):
            paths = deployment.gateways[owner]._parts.paths
            paths.suspect("plain")
            for gateway in deployment.gateways:
                observed = gateway._targets
                await deployment.until(
                    lambda observed=observed: (
                        observed.owner(engine.target) not in ("", owner_name)
                    )
                )
            before = len(engine.orders)
            deployment.engines[1].silent = True
            asked = await deployment.ask("/stream/x", Model=f"{MODEL}/a9", vm=other)
            deployment.engines[1].silent = False
            assert asked.status == 200
            assert len(engine.orders) > before
        fences = [order["fence"] for order in engine.orders]
        holders = [order["holder"] for order in engine.orders]
        assert fences == sorted(fences)
        assert owner_name not in holders[before:]

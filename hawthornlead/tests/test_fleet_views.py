"""Tests of one look at a fleet, over HTTP and by the command line."""

import asyncio
import json

from click.testing import CliRunner

from hawthornlead.main import cli

from .gateways import Deployment, free_ports


async def test_a_vm_tells_who_lives_who_orders_and_where_its_beliefs_come_from():
    async with Deployment(vms=3) as deployment:
        gateway = deployment.gateways[0]
        view = gateway._fleet_view.snapshot()
        assert view["vm"] == "vm-1"
        assert view["serving"]
        assert view["configuration"] == 1
        assert {row["vm"] for row in view["members"]} == {"vm-1", "vm-2", "vm-3"}
        assert {row["state"] for row in view["members"]} == {"serving"}
        assert len(view["relays"]) == 2
        owners = {row["target"]: row["owner"] for row in view["engines"]}
        assert owners["e1"]
        assert owners["p1"] == ""
        assert {row["kind"] for row in view["kinds"]} >= {"config", "servers"}
        deployment.gateways[2]._memberships.leave()
        await deployment.until(
            lambda: gateway._fleet_view.snapshot()["members"][-1]["state"] == "leaving"
        )


async def test_the_command_prints_what_a_vm_tells():
    async with Deployment(vms=1) as deployment:
        (port,) = free_ports(1)
        gateway = deployment.gateways[0]
        address = f"127.0.0.1:{port}"
        gateway._settings["METRICS_ADDRESS"] = address
        for server in gateway._make_query_servers():
            if server._address == address:
                server.start()
                gateway._query_servers.append(server)
        run = asyncio.to_thread(CliRunner().invoke, cli, ["fleet", "--vm", address])
        printed = (await run).output
        assert "vm-1" in printed
        assert "e1" in printed
        options = ["fleet", "--vm", address, "--json"]
        told = await asyncio.to_thread(CliRunner().invoke, cli, options)
        assert json.loads(told.output)["vm"] == "vm-1"

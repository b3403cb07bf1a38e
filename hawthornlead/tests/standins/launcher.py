"""Starts a whole set of stand-ins in one process, for the demo and long runs.

The description is an INI file; each section is ``KIND NAME`` and its keys are
``address``, ``data_centre``, and faults as JSON. Engines and services are entered
in every VM list, as are the sections ``vm NAME`` (keys ``role``, ``address``,
``data_centre``), and an engine's ``weight_store`` names a section::

    [object_api store]
    [vm_list vms]
    [weight_store weights]
    loads_per_s = 6
    [engine engine-1]
    data_centre = santander
    weight_store = weights
    slots = 4
    [service bulletins-1]
    service = bulletins
    data_centre = bilbao
    [vm entry-1]
    address = 127.0.0.1:7001
    data_centre = santander

The addresses are printed as JSON on one line: ``{"engine-1": "127.0.0.1:40001"}``.
"""

import asyncio
import configparser
import json
import random
from typing import Any, NamedTuple

import click

from . import engine, object_api, service, vm_list, weight_store
from .base import STAND_INS, StandIn

__all__ = ["StandInSet", "engine", "object_api", "service", "vm_list", "weight_store"]

_ORDER = ("object_api", "vm_list", "weight_store", "engine", "service")


class Part(NamedTuple):
    """One section of the description."""

    kind: str
    name: str
    keys: dict[str, str]


class StandInSet:
    """A set of stand-ins in one event loop."""

    def __init__(self, parts: list[Part], seed: int = 0):
        self._parts = parts
        self._seed = seed
        self.stand_ins: dict[str, StandIn] = {}
        self.vms: list[dict] = []

    @classmethod
    def read(cls, text: str, seed: int = 0) -> "StandInSet":
        """Read an INI description."""
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(text)
        parts = []
        for section in parser.sections():
            kind, _, name = section.partition(" ")
            if kind != "vm" and kind not in STAND_INS:
                raise ValueError(f"[{section}]: one of vm, {', '.join(STAND_INS)}")
            parts.append(Part(kind, name or kind, dict(parser[section])))
        return cls(parts, seed)

    async def start(self) -> dict[str, str]:
        """Start all; return their addresses by name."""
        for kind in _ORDER:
            for part in self._parts:
                if part.kind == kind:
                    await self._start_one(part)
        self.vms = [self._entry(part) for part in self._parts if self._listed(part)]
        for stand_in in self.stand_ins.values():
            if isinstance(stand_in, vm_list.VmListStandIn):
                stand_in.set_entries(self.vms)
        return {name: running.address for name, running in self.stand_ins.items()}

    async def stop(self) -> None:
        """Stop all."""
        for running in self.stand_ins.values():
            await running.stop()

    async def _start_one(self, part: Part) -> None:
        host, _, port = part.keys.get("address", "127.0.0.1:0").rpartition(":")
        rng = random.Random(f"{self._seed} {part.name}")
        running = STAND_INS[part.kind](name=part.name, rng=rng, **self._faults(part))
        self.stand_ins[part.name] = running
        await running.start(int(port), host)

    def _faults(self, part: Part) -> dict[str, Any]:
        faults = {}
        for key, text in part.keys.items():
            if key in ("address", "data_centre", "service"):
                continue
            faults[key] = _value(text)
        if "weight_store" in faults:
            faults["weight_store"] = self.stand_ins[faults["weight_store"]].address
        return faults

    def _listed(self, part: Part) -> bool:
        return part.kind in ("vm", "engine", "service")

    def _entry(self, part: Part) -> dict:
        common = {
            "name": part.name,
            "role": part.keys.get("role", "entry") if part.kind == "vm" else part.kind,
            "data_centre": part.keys.get("data_centre", ""),
            "state": "live",
            "attributes": {},
        }
        if part.kind == "vm":
            return {**common, "address": part.keys["address"]}
        running = self.stand_ins[part.name]
        attributes = {"service": part.keys.get("service", part.name)}
        if part.kind == "engine":
            shown = ("base_models", "slots", "fencing", "max_running")
            attributes = {name: running.faults[name] for name in shown}
            attributes["weight_store"] = part.keys.get("weight_store", "")
        return {**common, "address": running.address, "attributes": attributes}


def _value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


@click.command()
@click.argument("description", type=click.File())
@click.option("--seed", default=0, help="seed of the stand-ins' random numbers")
def main(description, seed):
    """Start the stand-ins of DESCRIPTION and print their addresses."""

    async def serve():
        running = StandInSet.read(description.read(), seed)
        click.echo(json.dumps(await running.start()))
        await asyncio.Event().wait()

    asyncio.run(serve())


if __name__ == "__main__":
    main()

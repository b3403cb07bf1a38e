"""VMs are partitioned from all engines; their open connections go on."""

import asyncio
from pathlib import Path

import rig_2 as rigs
import streams_2 as streams

from conformance.worlds import configuration

# Streams of 6.8 s, an event each 0.4 s. New connections are refused for 5 s of them.
EVENTS = 17
EVENT_S = 0.4
ENGINES = 16
STREAMS = 16
CUT_AFTER_S = 1.0
CUT_S = 5.0


async def case() -> int:
    """Return 1 if more than three streams were cut, 0 if not."""
    record = Path(__file__).with_name("record.txt")
    async with rigs.Rig("127.45", record) as rig:
        engines = []
        for number in range(ENGINES):
            engine = streams.PacedEngine(rig, f"i-{number:04x}", EVENTS, EVENT_S)
            engines.append(await rig.add(engine))
        vms = await rig.start(["edge-1", "edge-2"], configuration())
        asking = []
        for number in range(STREAMS):
            asked = streams.read_stream(rig, vms[0].front, number, f"a{number + 1}")
            asking.append(asyncio.create_task(asked))
            await asyncio.sleep(0.05)
        await asyncio.sleep(CUT_AFTER_S)
        if rigs.has_trouble():
            rig.note("new connections are refused")
            for engine in engines:
                engine.close_listener()
            await asyncio.sleep(CUT_S)
            rig.note("they are accepted again")
            for engine in engines:
                await engine.open_listener()
        return streams.judge(await asyncio.gather(*asking))


if __name__ == "__main__":
    rigs.run(case())

"""An engine that was cut off from the store, and is back, is silent for a second."""

import asyncio
from pathlib import Path

import rig_2 as rigs
import streams_2 as streams

from conformance.worlds import configuration

# Streams of 6.4 s, or 5.3 s without the silence. The engine's entry is removed after
# 1 s, as the store does after three heartbeats that it didn't get, and is back 1.5 s
# later. New streams begin. From 4.5 s to 5.6 s the engine is silent.
EVENTS = 53
EVENT_S = 0.1
STREAMS = 12
REMOVED_AFTER_S = 1.0
AWAY_S = 1.5
BACK_FOR_S = 2.0
SILENT_S = 1.1


async def case() -> int:
    """Return 1 if more than three streams were cut, 0 if not."""
    record = Path(__file__).with_name("record.txt")
    async with rigs.Rig("127.46", record) as rig:
        engines = []
        for number in range(3):
            engine = streams.PacedEngine(rig, f"i-{number:04x}", EVENTS, EVENT_S)
            engines.append(await rig.add(engine))
        vms = await rig.start(["edge-1", "edge-2"], configuration())
        front = vms[0].front
        asking = [streams.read_stream(rig, front, n) for n in range(STREAMS)]
        reading = asyncio.gather(*asking)
        await asyncio.sleep(REMOVED_AFTER_S)
        paused = engines[0]
        if rigs.has_trouble():
            rig.note("entry removed", engine=paused.name)
            paused.lose_entry()
            await asyncio.sleep(AWAY_S)
            rig.note("entry back", engine=paused.name)
            paused.register()
        else:
            await asyncio.sleep(AWAY_S)
        await asyncio.sleep(BACK_FOR_S)
        rig.note("silent", engine=paused.name)
        paused.awake.clear()
        await asyncio.sleep(SILENT_S)
        rig.note("goes on", engine=paused.name)
        paused.awake.set()
        return streams.judge(await reading)


if __name__ == "__main__":
    rigs.run(case())

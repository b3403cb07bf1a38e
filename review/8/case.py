"""An engine that has drained refuses new connections, and ends what it still runs."""

import asyncio
from pathlib import Path

import rig_2 as rigs
import streams_2 as streams

from conformance.worlds import configuration

# Streams of 4.5 s, with a pause of 0.6 s after 3.1 s. The engine reports after 0.5 s
# that it is draining, and listens for 2.2 s more.
EVENTS = 40
EVENT_S = 0.1
PAUSE_S = 0.6
PAUSE_BEFORE = 32
STREAMS = 16
DRAINS_AFTER_S = 0.5
LISTENS_S = 2.2


async def case() -> int:
    """Return 1 if more than three streams were cut, 0 if not."""
    record = Path(__file__).with_name("record.txt")
    async with rigs.Rig("127.48", record) as rig:
        engines = []
        for number in range(3):
            engine = streams.PacedEngine(rig, f"i-{number:04x}", EVENTS, EVENT_S)
            engine.pause_before, engine.pause_s = PAUSE_BEFORE, PAUSE_S
            engines.append(await rig.add(engine))
        vms = await rig.start(["edge-1", "edge-2"], configuration())
        front = vms[0].front
        asking = [streams.read_stream(rig, front, n) for n in range(STREAMS)]
        reading = asyncio.gather(*asking)
        await asyncio.sleep(DRAINS_AFTER_S)
        if rigs.has_trouble():
            leaving = engines[0]
            rig.note("draining", engine=leaving.name)
            leaving.leave(drains=True)
            await asyncio.sleep(LISTENS_S)
            rig.note("new connections are refused", engine=leaving.name)
            leaving.close_listener()
        return streams.judge(await reading)


if __name__ == "__main__":
    rigs.run(case())

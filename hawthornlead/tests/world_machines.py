"""State machines over a world of VMs that run on an event loop of the machine's own."""

import asyncio
import itertools

from hypothesis.stateful import RuleBasedStateMachine


class WorldMachine(RuleBasedStateMachine):
    """The event loop, the ``world`` that the first rule builds, and ids of requests."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.ids = itertools.count(1)
        self.world = None

    def run(self, coroutine):
        """Run a coroutine on the machine's loop."""
        return self.loop.run_until_complete(coroutine)

    def teardown(self):
        """Stop the world, and let its tasks end."""
        self.run(self._stop())
        self.loop.close()

    async def _stop(self):
        self.world.stop()
        await asyncio.sleep(0)

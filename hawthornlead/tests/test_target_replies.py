"""Tests of which replies to orders and cancels count."""

import asyncio
import itertools
import random

from result import Err

from hawthornlead.engines.targets import TargetClient

from .standins.scripted_target import ScriptedTarget
from .test_exchange_responses import FRAMINGS, head_length, response


async def test_a_reply_made_of_two_responses_confirms_nothing():
    """Guards against a cancel that counts as carried out though it was refused.

    A cancel has no content in its reply: its status alone is the confirmation.
    """
    for framing, place in itertools.product(FRAMINGS, (0, 1)):
        first = response(200, "", b"{}", framing, place)
        own = response(500, "", b"{}", "length", place)

        async def cancel(length, first=first, own=own):
            async with ScriptedTarget([first[:length] + own], closes=True) as target:
                client = TargetClient(target.address, rng=random.Random(1))
                return await client.cancel("r.1")

        lengths = range(head_length(first))
        for got in await asyncio.gather(*(cancel(length) for length in lengths)):
            assert isinstance(got, Err)

"""The event loop of a gateway: uvloop without io_uring.

::

    with new_runner() as runner:
        runner.run(main())
"""

import asyncio
import os


def new_runner() -> asyncio.Runner:
    """Return an asyncio runner on uvloop's event loop.

    The process may not use io_uring. libuv uses it unless this variable is set in the
    environment before the library is loaded.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return asyncio.Runner(loop_factory=uvloop.new_event_loop)

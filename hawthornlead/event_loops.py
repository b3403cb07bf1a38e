"""The event loop of a gateway: uvloop's, without io_uring.

::

    with new_runner() as runner:
        runner.run(main())
"""

import asyncio
import os


def new_runner() -> asyncio.Runner:
    """Return a runner of asyncio on uvloop's event loop.

    A process may not use io_uring, which libuv opens on its own unless this variable
    stands in the environment before the library is loaded.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return asyncio.Runner(loop_factory=uvloop.new_event_loop)

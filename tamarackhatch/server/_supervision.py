"""Restarts a background task that ends unexpectedly."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import observability

# Long enough that a lasting error does not fill the log or the processor.
_RESTART_DELAY = datetime.timedelta(seconds=1)


async def run_supervised(
    name: str,
    run: Callable[[], Awaitable[None]],
    time_source: clock.Clock,
    log: observability.Log,
) -> None:
    """Runs a background task until cancelled.

    An unexpected error must not end the process, because it also serves
    callers.

    Args:
        name: Name of the task in the log.
        run: The task; started again whenever it ends.
        time_source: Source of time.
        log: Log of the process.
    """
    while True:
        try:
            await run()
            log.error("background_task_ended", task=name)
        except Exception as error:
            log.error("background_task_failed", task=name, reason=repr(error))
        await time_source.sleep(_RESTART_DELAY)

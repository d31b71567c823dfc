"""Runs an instance in this process."""

import asyncio
import gc
import sys

from tamarackhatch import clock
from tamarackhatch import observability
from tamarackhatch.server import _instance
from tamarackhatch import settings

# Objects that may be created between two garbage collections, and collections
# of each generation between two of the next. A scheduler keeps a large heap
# and creates few reference cycles: with the defaults of Python, collections
# took 6 % of its processor time, with pauses of 60 ms.
_COLLECTION_THRESHOLDS = (20_000, 20, 20)


def serve(path: str) -> None:
    """Runs an instance until SIGTERM or SIGINT, then stops it gracefully.

    Args:
        path: Path of the settings file.

    Raises:
        FindingsError: The settings file has faults.
    """
    initial_settings = settings.load_settings(path)
    gc.set_threshold(*_COLLECTION_THRESHOLDS)
    # What was imported stays for the life of the process.
    gc.freeze()
    asyncio.run(_run_instance(path, initial_settings))


async def _run_instance(
    path: str, initial_settings: settings.Settings
) -> None:
    time_source = clock.SystemClock()
    sink = observability.LineSink(
        sys.stdout.fileno(), time_source, initial_settings.logging.lines_per_s
    )
    level_filter = observability.LevelFilter()
    level_filter.set_level(initial_settings.logging.level)
    await _instance.Instance(
        path, initial_settings, time_source, level_filter, sink
    ).run()

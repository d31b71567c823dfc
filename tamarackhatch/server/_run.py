"""Runs an instance in this process."""

import asyncio
import sys

from tamarackhatch import clock
from tamarackhatch import observability
from tamarackhatch.server import _instance
from tamarackhatch import settings


def serve(path: str) -> None:
    """Serves until SIGTERM.

    Args:
        path: The settings file.

    Raises:
        FindingsError: The settings file has faults.
    """
    configured = settings.load_settings(path)
    asyncio.run(_serve(path, configured))


async def _serve(path: str, configured: settings.Settings) -> None:
    time_source = clock.SystemClock()
    sink = observability.LineSink(
        sys.stdout.fileno(), time_source, configured.logging.lines_per_s
    )
    levels = observability.LevelFilter()
    levels.set_level(configured.logging.level)
    await _instance.Instance(path, configured, time_source, levels, sink).run()

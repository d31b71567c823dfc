"""Runs the demonstration with real processes."""

import asyncio

from standins import demo


def test_demonstration_passes_all_checks() -> None:
    """Guards against jobs lost when a process is killed or stopped."""
    assert asyncio.run(demo.demonstrate()) == 0

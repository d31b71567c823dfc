"""The demonstration with real processes."""

import asyncio

from standins import demo


def test_demonstration_breaks_no_promise() -> None:
    """One process is killed, one stopped, and every job is kept."""
    assert asyncio.run(demo.demonstrate()) == 0

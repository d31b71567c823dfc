"""Tests for how long schedulers of earlier terms may be active."""

import asyncio
import datetime

import pytest

from tamarackhatch import clock
from tamarackhatch import election

_S = datetime.timedelta(seconds=1)
_LEASE = 5 * _S


@pytest.mark.parametrize(
    ("earlier", "elapsed_s", "remaining_s"),
    [
        # The previous scheduler may be active.
        (None, 0.0, 5.15),
        (None, 5.0, 0.15),
        (None, 5.2, 0.0),
        # It has stopped, and one before it may be active.
        (1.5 * _S, 0.0, 1.5),
        (1.5 * _S, 1.0, 0.5),
        (1.5 * _S, 2.0, 0.0),
        (60 * _S, 0.0, 5.15),
        (0 * _S, 0.0, 0.0),
    ],
)
def test_earlier_lease_runs_down(
    earlier: datetime.timedelta | None, elapsed_s: float, remaining_s: float
) -> None:
    """Guards against a wait that begins anew in each of a series of terms."""

    async def simulate() -> None:
        time_source = clock.ManualClock()
        term = election.Term(4, 9, 0 * _S, earlier_lease=earlier)
        lease = election.LeaderLease(time_source, term, _LEASE)
        await time_source.advance(elapsed_s * _S)
        assert lease.earlier_lease == remaining_s * _S
        assert lease.is_sole is (remaining_s == 0)

    asyncio.run(simulate())

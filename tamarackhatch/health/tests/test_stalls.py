"""Decision tables of runners that hang.

They answer runners that answer their renewals while none of their runs makes
progress. Most tasks take less than 3 s.
"""

import datetime

import pytest

from tamarackhatch import health
from tamarackhatch import model

_SECOND = datetime.timedelta(seconds=1)
# Percent of each run of the observed runner, by second.
_STUCK = [30] * 12
_SLOW = list(range(10, 22))


def _observe(
    percents: list[list[int]],
    speed_limit: float = 1.0,
    peers: int = 2,
    exit_at: int | None = None,
) -> float | None:
    """Returns the second at which the runner is found to hang, if at all.

    Args:
        percents: Progress of each of its runs, by second.
        speed_limit: Speed limit of these runs.
        peers: Number of other runners that make progress.
        exit_at: Second at which another run on the runner ends.
    """
    detector = health.StallDetector()
    for second in range(12):
        now = (second + 10) * _SECOND
        runs = [
            health.RunObservation(
                "hung",
                "q",
                (model.TaskKey(f"job-{number}", 0, 0, 0), 1),
                run[second],
                speed_limit,
                10 * _SECOND,
            )
            for number, run in enumerate(percents)
        ]
        for number in range(peers):
            runs.append(
                health.RunObservation(
                    f"peer-{number}",
                    "q",
                    (model.TaskKey(f"peer-{number}", 0, 0, 0), 1),
                    5 * second,
                    1.0,
                    10 * _SECOND,
                )
            )
        if second == exit_at:
            detector.record_exit("hung", "q", now)
        stalls = detector.find_stalls(runs, now)
        if stalls:
            assert {stall.runner for stall in stalls} == {"hung"}
            assert len(stalls) == len(percents)
            return second
    return None


@pytest.mark.parametrize(
    ("percents", "changes", "found_at"),
    [
        pytest.param([_STUCK, _STUCK], {}, 3, id="two jobs"),
        pytest.param([_STUCK], {}, 8, id="a single run"),
        pytest.param([_STUCK, _SLOW], {}, None, id="one proceeds"),
        pytest.param([[100] * 12] * 2, {}, None, id="no progress reported"),
        pytest.param(
            [_STUCK, _STUCK], {"speed_limit": 0.0}, None, id="throttled to 0"
        ),
        pytest.param(
            [_STUCK, _STUCK], {"speed_limit": 0.5}, 6, id="half speed"
        ),
        pytest.param(
            [_STUCK, _STUCK], {"peers": 1}, None, id="others hang, too"
        ),
        pytest.param(
            [_STUCK, _STUCK], {"exit_at": 2}, 5, id="another run ends"
        ),
    ],
)
def test_hung_runner_is_found(
    percents: list[list[int]],
    changes: dict[str, int],
    found_at: int | None,
) -> None:
    """Guards against hung runs that hold up their jobs, and false alarms."""
    assert _observe(percents, **changes) == found_at

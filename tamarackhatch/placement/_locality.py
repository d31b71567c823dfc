"""Delay scheduling: whether a task waits for a place near its data.

Answers the load in which urgent tasks name a rack that is full for the moment,
while runners on other racks, where they take longer, are free.
"""

import datetime
import enum

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _policy

# A task that waits beside idle capacity for 3 s is a fault.
MAX_NEAR_WAIT = datetime.timedelta(milliseconds=2500)
# Forecasts are short by about this factor, because run times vary and tasks
# that go first take places. A wait in vain costs as much as it would have
# gained. See docs/design/delay-scheduling.md for what was compared.
_FORECAST_ERROR = 1.5
_NO_TIME = datetime.timedelta()


@attrs.frozen
class NearOption:
    """What a task can expect of the runners near its data or its group.

    Attributes:
        run_time: Expected run time there.
        slowdown: Factor by which it takes longer on other runners.
        expected_wait: Expected time until it can start there; None if no
            place is forecast.
        waited: Time since it could first have started anywhere.
        slack: Time for which a start elsewhere can still be put off without
            missing the job's objective; None without an objective.
    """

    run_time: datetime.timedelta
    slowdown: float
    expected_wait: datetime.timedelta | None
    waited: datetime.timedelta = _NO_TIME
    slack: datetime.timedelta | None = None

    @property
    def gain(self) -> datetime.timedelta:
        """Time that a near runner saves, without the wait."""
        return (self.slowdown - 1) * self.run_time

    @property
    def longest_wait(self) -> datetime.timedelta:
        """Time from now on for which the task may wait; negative if over.

        In total a task waits no longer than what it gains. So even if the
        forecast is wrong it loses no more time than it could have gained.
        """
        longest = min(self.gain, MAX_NEAR_WAIT) - self.waited
        return longest if self.slack is None else min(longest, self.slack)


class RemoteReason(enum.Enum):
    """Why a task does not wait for a near place.

    Attributes:
        NO_PLACE: No place is forecast there.
        NO_GAIN: The expected wait is longer than what is gained.
        TIME_IS_UP: It would wait too long in total, or beyond the objective.
    """

    NO_PLACE = "no place"
    NO_GAIN = "no gain"
    TIME_IS_UP = "time is up"


@attrs.frozen
class StartNear:
    """A task can start near its data now."""


@attrs.frozen
class AwaitNear:
    """A task waits for a near place until a monotonic time.

    Attributes:
        until: The time.
        expected_wait: Expected time until it can start there.
        gain: Time that it saves there, without the wait.
    """

    until: datetime.timedelta
    expected_wait: datetime.timedelta
    gain: datetime.timedelta


@attrs.frozen
class StartRemote:
    """A task starts on any runner now."""

    reason: RemoteReason


PlaceDecision = StartNear | AwaitNear | StartRemote


def decide_place(option: NearOption, now: datetime.timedelta) -> PlaceDecision:
    """Returns whether a task starts near, waits, or starts remote.

    Args:
        option: What it can expect.
        now: Monotonic time.
    """
    wait = option.expected_wait
    if wait is not None and wait <= _NO_TIME:
        return StartNear()
    if option.longest_wait <= _NO_TIME:
        return StartRemote(RemoteReason.TIME_IS_UP)
    if wait is None:
        return StartRemote(RemoteReason.NO_PLACE)
    cautious_wait = _FORECAST_ERROR * wait
    if cautious_wait >= option.gain:
        return StartRemote(RemoteReason.NO_GAIN)
    if cautious_wait > option.longest_wait:
        return StartRemote(RemoteReason.TIME_IS_UP)
    return AwaitNear(now + option.longest_wait, wait, option.gain)


def is_sound(
    candidate: _candidate.CandidateRunner, policy: _policy.PlacementPolicy
) -> bool:
    """Returns whether nearness outweighs the failed runs on a runner."""
    return policy.failure_weight * candidate.penalty < policy.locality_weight


def count_places(
    candidate: _candidate.CandidateRunner, step: model.Step
) -> int:
    """Returns how many tasks of a step have capacity on a runner."""
    load, demand = candidate.load, step.reserved
    if step.required_label and step.required_label not in load.labels:
        return 0
    count = step.count
    if candidate.is_limit_strict and not step.is_long_running:
        count = max(0, candidate.start_limit - load.transient_count)
    if step.max_per_runner:
        count = min(count, step.max_per_runner)
    available = load.compute_free()
    for wanted, free in (
        (demand.processors, available.processors),
        (demand.memory_mb, available.memory_mb),
        (demand.accelerators, available.accelerators),
    ):
        if wanted:
            count = min(count, max(0, free) // wanted)
    return min(count, step.count)

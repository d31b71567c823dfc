"""Keeps the forecast room of racks while their runners do not change."""

from collections.abc import Callable
from collections.abc import Collection
import datetime

import attrs

from tamarackhatch import forecast
from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _run_times
from tamarackhatch.scheduler import _state

# Forecasts shift with the age of the runs and with reports; waits last some
# hundred milliseconds.
_MAX_AGE = datetime.timedelta(milliseconds=100)

Candidates = list[placement.CandidateRunner]
RateSource = Callable[[_state.TaskEntry], float | None]


@attrs.define(eq=False)
class RackRoom:
    """Forecast of the room on the runners of a rack.

    Attributes:
        number: Number of the forecast.
        signature: Number of runners and of the changes of their loads.
        made_at: Monotonic time at which it was made.
        loads: Loads of its runners.
        rooms: Rooms by runner, with the places that waiting tasks hold.
    """

    number: int
    signature: tuple[int, int]
    made_at: datetime.timedelta
    loads: list[placement.RunnerLoad]
    rooms: dict[str, forecast.RunnerRoom]


@attrs.frozen(eq=False)
class _RunnerForecast:
    """Room of one runner, from a time and a state of its load."""

    changes: int
    made_at: datetime.timedelta
    room: forecast.RunnerRoom


class RackRooms:
    """Forecasts the room of racks with waiting tasks.

    Attributes:
        get_rate: Returns the progress rate of a task's run, in per cent per
            second; None if it was not measured.
    """

    def __init__(self, context: _context.SchedulerContext) -> None:
        self.get_rate: RateSource = lambda task: None
        self._context = context
        self._rooms: dict[tuple[str, str], RackRoom] = {}
        self._runners: dict[str, _RunnerForecast] = {}
        self._number = 0

    def begin_pass(self) -> None:
        """Forgets old forecasts."""
        if self._rooms:
            oldest = self._context.get_now() - _MAX_AGE
            self._rooms = {
                key: room
                for key, room in self._rooms.items()
                if room.made_at > oldest
            }
        if len(self._runners) > len(self._context.fleet):
            self._runners.clear()

    def is_unchanged(
        self,
        tasks: list[_state.TaskEntry],
        rack: str,
        near: Candidates,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether all tasks wait, and nothing has changed since.

        Then the pass need not decide again: this is what keeps many passes
        with many waiting tasks cheap.
        """
        room = self._rooms.get((near[0].load.service, rack))
        if (
            room is None
            or now - room.made_at >= _MAX_AGE
            or room.signature != _compute_signature(near)
        ):
            return False
        return all(_holds_place(task, room, now) for task in tasks)

    def list_holders(
        self,
        tasks: list[_state.TaskEntry],
        rack: str,
        near: Candidates,
        now: datetime.timedelta,
    ) -> list[_state.TaskEntry]:
        """Returns the tasks that hold a place in the present forecast."""
        if not near:
            return []
        room = self.get_room(rack, near, now)
        return [task for task in tasks if _holds_place(task, room, now)]

    def is_settled(
        self, tasks: Collection[_state.TaskEntry], now: datetime.timedelta
    ) -> bool:
        """Returns whether tasks of one step need no placement pass now.

        That is the case while they all hold places in a recent forecast, and
        no runner of their rack has the capacity for one of them.
        """
        first = next(iter(tasks))
        if first.near_wait is None:
            return False
        service = first.job.job.queue.service
        room = self._rooms.get((service, first.near_wait.rack))
        return (
            room is not None
            and now - room.made_at < _MAX_AGE
            and all(_holds_place(task, room, now) for task in tasks)
            and not any(load.has_capacity(first.step) for load in room.loads)
        )

    def get_room(
        self, rack: str, near: Candidates, now: datetime.timedelta
    ) -> RackRoom:
        """Returns the forecast of a rack's runners for the present pass."""
        key = (near[0].load.service, rack)
        signature = _compute_signature(near)
        room = self._rooms.get(key)
        if (
            room is None
            or room.signature != signature
            or now - room.made_at >= _MAX_AGE
        ):
            self._number += 1
            room = self._rooms[key] = RackRoom(
                self._number,
                signature,
                now,
                [candidate.load for candidate in near],
                {
                    candidate.load.identifier: self._get_runner_room(
                        candidate.load, now
                    )
                    for candidate in near
                },
            )
        return room

    def _get_runner_room(
        self, load: placement.RunnerLoad, now: datetime.timedelta
    ) -> forecast.RunnerRoom:
        known = self._runners.get(load.identifier)
        if (
            known is None
            or known.changes != load.changes
            or now - known.made_at >= _MAX_AGE
        ):
            entry = self._context.fleet[load.identifier]
            known = _RunnerForecast(
                load.changes, now, self._make_runner_room(entry, now)
            )
            self._runners[load.identifier] = known
        return known.room

    def _make_runner_room(
        self, entry: _fleet.RunnerEntry, now: datetime.timedelta
    ) -> forecast.RunnerRoom:
        releases = []
        for task in entry.tasks.values():
            remaining = self._estimate_remaining(task, entry, now)
            if remaining is not None:
                releases.append(
                    forecast.Release(now + remaining, task.step.reserved)
                )
        releases.sort(key=lambda release: release.at)
        return forecast.RunnerRoom(
            entry.load.compute_free(), tuple(releases), now
        )

    def _estimate_remaining(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        bounds = self._context.settings.bounds
        if task.phase is _state.TaskPhase.STOPPING:
            until = task.phase_since + bounds.stop_timeout
            return max(datetime.timedelta(), until - now)
        if task.step.is_long_running:
            return None
        slowdown = _run_times.get_slowdown(
            task, entry, bounds.remote_slowdown or 1.0
        )
        return self._context.run_times.estimate_remaining(
            _run_times.make_run(task, slowdown, self.get_rate(task)), now
        )


def _holds_place(
    task: _state.TaskEntry, room: RackRoom, now: datetime.timedelta
) -> bool:
    wait = task.near_wait
    return (
        wait is not None
        and wait.is_active
        and wait.forecast == room.number
        and wait.until > now
    )


def _compute_signature(near: Candidates) -> tuple[int, int]:
    return len(near), sum(candidate.load.changes for candidate in near)

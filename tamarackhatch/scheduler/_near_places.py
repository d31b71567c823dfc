"""Applies delay scheduling to waiting tasks that prefer a rack."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import datetime

import attrs

from tamarackhatch import forecast
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _prospects
from tamarackhatch.scheduler import _rack_rooms
from tamarackhatch.scheduler import _racks
from tamarackhatch.scheduler import _run_times
from tamarackhatch.scheduler import _state
from tamarackhatch import settings

_MILLISECOND = datetime.timedelta(milliseconds=1)
# A run that is expected to have ended ends with the next report.
_MIN_WAIT = datetime.timedelta(milliseconds=10)

Candidates = list[placement.CandidateRunner]
Group = dict[int, _state.TaskEntry]
Choose = Callable[
    [list[_state.TaskEntry], Candidates, bool], list[placement.Choice]
]
Start = Callable[[list[placement.Choice]], int]


@attrs.frozen(eq=False)
class _Plan:
    """Which of a step's tasks wait for a rack.

    Attributes:
        rack: The rack.
        waiting: Tasks that wait, with the decision for each.
        rejected: The others, with the reason.
        room: Forecast in which the places are held; None without any.
        rooms: Rooms of its runners, with these places.
    """

    rack: str
    waiting: list[tuple[_state.TaskEntry, placement.AwaitNear]]
    rejected: list[tuple[_state.TaskEntry, placement.RemoteReason]]
    room: _rack_rooms.RackRoom | None = None
    rooms: dict[str, forecast.RunnerRoom] = attrs.field(factory=dict)


class NearPlacer:
    """Starts tasks near, lets them wait for that, or starts them remote."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        choose: Choose,
        start: Start,
    ) -> None:
        """Creates the placer of one term.

        Args:
            context: Shared components of the scheduler.
            choose: Chooses runners for tasks of one step, at full speed only
                if its last argument is true, and reserves capacity.
            start: Starts the chosen tasks, and returns their number.
        """
        self._context = context
        self._choose = choose
        self._start = start
        self._rooms = _rack_rooms.RackRooms(context)
        self._racks = _racks.RackFinder(context.policy)
        self._infeasible = placement.InfeasibleDemands()
        self._candidates: dict[str, Candidates] = {}
        self._next_end: datetime.timedelta | None = None

    def set_rate_source(self, get_rate: _rack_rooms.RateSource) -> None:
        """Sets the function that returns the progress rate of a task."""
        self._rooms.get_rate = get_rate

    def begin_pass(self, candidates: dict[str, Candidates]) -> None:
        """Begins a placement pass over runners, by service."""
        self._candidates = candidates
        self._rooms.begin_pass()
        self._racks.begin_pass(candidates)
        self._infeasible.clear()
        self._next_end = None

    def is_settled(
        self, waiting: Mapping[tuple[str, int, int], Group]
    ) -> bool:
        """Returns whether all waiting tasks wait by choice, for later.

        Then a placement pass would change nothing. Without this, each report
        of any runner would cause one while a rack is hot.
        """
        now = self._context.get_now()
        if not waiting or not all(
            self._rooms.is_settled(group.values(), now)
            for group in waiting.values()
        ):
            return False
        for group in waiting.values():
            self._note_ends(group.values())
        return True

    def limit_pause(self, longest: datetime.timedelta) -> datetime.timedelta:
        """Returns the time until the next pass, at which a wait may end."""
        if self._next_end is None:
            return longest
        remaining = self._next_end - self._context.get_now()
        # The next pass finds the end of the waits anew.
        self._next_end = None
        return min(longest, max(datetime.timedelta(), remaining))

    def applies_to(self, step: model.Step) -> bool:
        """Returns whether the tasks of a step take longer on other racks.

        Long-running tasks have no run time that a rack would shorten.
        """
        return (
            bool(step.preferred_rack or step.is_rack_sensitive)
            and (not step.is_long_running or step.is_gang)
            and self._context.settings.bounds.remote_slowdown is not None
        )

    def place_tasks(
        self, tasks: list[_state.TaskEntry], candidates: Candidates
    ) -> int:
        """Starts tasks of one step that is not a gang.

        Args:
            tasks: The tasks.
            candidates: Runners on which they may start now.

        Returns:
            The number of started tasks.
        """
        if not tasks:
            return 0
        step = tasks[0].step
        now = self._context.get_now()
        rack = step.preferred_rack
        is_spread = False
        if step.is_rack_sensitive and not rack:
            if not self._can_start(tasks[0], candidates):
                _suspend(tasks)
                return self._start(self._choose(tasks, candidates, False))
            rack, is_spread = self._racks.find_group_rack(tasks, candidates)
        near = self._racks.list_near(tasks[0], rack, candidates)
        if near and self._rooms.is_unchanged(tasks, rack, near, now):
            self._note_ends(tasks)
            return 0
        choices = self._choose(tasks, near, True)
        placed = self._start(choices)
        rest = tasks[placed:]
        if not rest:
            return placed
        if not is_spread and self._can_start(rest[0], candidates):
            # Those that hold a place already must not be counted twice.
            held = self._rooms.list_holders(rest, rack, near, now)
            self._note_ends(held)
            rest = [task for task in rest if task not in held]
            if rest:
                plan = self._plan(rest, rack, near)
                self._apply(plan)
                waiting = {task.key for task, _ in plan.waiting}
                rest = [task for task in rest if task.key not in waiting]
        else:
            _suspend(rest)
        if rest:
            placed += self._start(self._choose(rest, candidates, False))
        return placed

    def choose_for_gang(
        self, members: list[_state.TaskEntry], candidates: Candidates
    ) -> list[placement.Choice]:
        """Chooses runners for all members of a gang.

        The choice may be incomplete if there is no capacity, and is empty if
        the gang waits for a rack.
        """
        step = members[0].step
        wait = members[0].near_wait
        if wait is not None and wait.is_active:
            now = self._context.get_now()
            near = self._racks.list_near(members[0], wait.rack, candidates)
            if near and self._rooms.is_unchanged(
                members, wait.rack, near, now
            ):
                self._note_ends(members)
                return []
        places = _racks.count_places(candidates, step)
        racks = _racks.list_gang_racks(members, places)
        for rack in racks:
            if step.preferred_rack != rack and places[rack] < len(members):
                continue
            near = self._racks.list_near(members[0], rack, candidates)
            choices = self._choose(members, near, True)
            if len(choices) == len(members):
                return choices
            placement.release_choices(choices, step)
        if sum(places.values()) < len(members):
            _suspend(members)
            return self._choose(members, candidates, False)
        for rack in racks:
            near = self._racks.list_near(members[0], rack, candidates)
            plan = self._plan(members, rack, near)
            if len(plan.waiting) == len(members):
                self._apply(plan)
                return []
        if racks:
            self._apply(plan)
        return self._choose(members, candidates, False)

    def record_start(
        self, task: _state.TaskEntry, entry: _fleet.RunnerEntry
    ) -> None:
        """Counts a task that is started, and ends its wait for good.

        A start that is refused must not let it wait a second time.
        """
        if not self.applies_to(task.step):
            return
        metrics = self._context.metrics
        is_near = _run_times.is_near(task, entry)
        wait = task.near_wait
        if wait is None:
            outcome = "near" if is_near else "remote"
        else:
            outcome = "waited" if is_near else "gave up"
            waited = self._context.get_now() - wait.since
            metrics.near_wait_seconds.observe(waited.total_seconds())
            task.near_wait = attrs.evolve(wait, is_active=False, is_over=True)
        metrics.near_placements.labels(outcome).inc()

    def _can_start(
        self, task: _state.TaskEntry, candidates: Candidates
    ) -> bool:
        """Returns whether a task could start on any runner now.

        Usually one of the first runners is free; where none is, this is
        remembered for the pass.
        """
        service, step = task.job.job.queue.service, task.step
        if self._infeasible.covers(service, step, 1.0):
            return False
        policy = self._context.policy
        if any(
            placement.can_start(task.key, step, candidate, policy)
            for candidate in candidates
        ):
            return True
        if (
            candidates is self._candidates.get(service)
            and not step.max_per_runner
        ):
            self._infeasible.add(service, step, 1.0)
        return False

    def _plan(
        self, tasks: list[_state.TaskEntry], rack: str, near: Candidates
    ) -> _Plan:
        """Decides which tasks of a step wait for a rack.

        The tasks of a rack-sensitive step and of a gang wait together or not
        at all.
        """
        context, step = self._context, tasks[0].step
        now = context.get_now()
        estimate = None
        if not step.is_long_running:
            estimate = _run_times.estimate_run_time(context, tasks[0], now)
        if estimate is None or not near:
            reason = placement.RemoteReason.NO_PLACE
            return _Plan(rack, [], [(task, reason) for task in tasks])
        run_time = estimate.median
        slowdown = context.settings.bounds.remote_slowdown or 1.0
        slack = _prospects.compute_slack(
            tasks[0], slowdown * run_time, context.clock.get_utc()
        )
        room = self._rooms.get_room(rack, near, now)
        runners = self._list_usable(tasks[0], near)
        gain = (slowdown - 1) * run_time
        latest = now + min(gain, placement.MAX_NEAR_WAIT)
        found = forecast.forecast_room(
            room.rooms,
            runners,
            step.reserved,
            len(tasks),
            run_time,
            now,
            latest,
            step.max_per_runner,
        )
        times = iter(found.times)
        plan = _Plan(rack, [], [], room)
        for task in tasks:
            wait = task.near_wait
            if wait is not None and wait.is_over:
                reason = placement.RemoteReason.TIME_IS_UP
                plan.rejected.append((task, reason))
                continue
            time = next(times, None)
            decision = placement.decide_place(
                placement.NearOption(
                    run_time,
                    slowdown,
                    None if time is None else max(_MIN_WAIT, time - now),
                    now - wait.since if wait else datetime.timedelta(),
                    slack,
                ),
                now,
            )
            if isinstance(decision, placement.AwaitNear):
                plan.waiting.append((task, decision))
            elif isinstance(decision, placement.StartRemote):
                plan.rejected.append((task, decision.reason))
        is_whole = step.is_gang or step.is_rack_sensitive
        if is_whole and plan.rejected and plan.waiting:
            _, reason = plan.rejected[0]
            plan.rejected.extend((task, reason) for task, _ in plan.waiting)
            plan.waiting.clear()
        if not plan.waiting:
            return plan
        if len(plan.waiting) < len(found.times):
            found = forecast.forecast_room(
                room.rooms,
                runners,
                step.reserved,
                len(plan.waiting),
                run_time,
                now,
                latest,
                step.max_per_runner,
            )
        return attrs.evolve(plan, rooms=dict(found.rooms))

    def _list_usable(
        self, task: _state.TaskEntry, near: Candidates
    ) -> list[str]:
        """Returns the runners on which room for a task is forecast.

        A runner that has the capacity and still cannot start the task lacks
        something else, such as full speed. Nothing is known of when it will
        have that.
        """
        policy = self._context.policy
        return [
            candidate.load.identifier
            for candidate in near
            if placement.is_allowed(candidate.load, task.key, task.step)
            and candidate.load.transient_count < candidate.start_limit
            and (
                not candidate.load.has_capacity(task.step)
                or placement.can_start(task.key, task.step, candidate, policy)
            )
        ]

    def _apply(self, plan: _Plan) -> None:
        """Holds the places of a plan, and records what has changed."""
        context = self._context
        now = context.get_now()
        if plan.room is not None and plan.waiting:
            plan.room.rooms = plan.rooms
        for task, reason in plan.rejected:
            wait = task.near_wait
            if wait is None or wait.is_over:
                continue
            task.near_wait = attrs.evolve(wait, is_active=False, is_over=True)
            context.log.info(
                "near_place_given_up",
                task=str(task.key),
                rack=wait.rack,
                waited_ms=(now - wait.since) // _MILLISECOND,
                reason=reason.value,
            )
        for task, decision in plan.waiting:
            assert plan.room is not None
            wait = task.near_wait
            since = now if wait is None else wait.since
            task.near_wait = _state.NearWait(
                plan.rack, since, decision.until, plan.room.number
            )
            if wait is None:
                context.log.info(
                    "near_place_awaited",
                    task=str(task.key),
                    rack=plan.rack,
                    expected_wait_ms=decision.expected_wait // _MILLISECOND,
                    gain_ms=decision.gain // _MILLISECOND,
                    until_ms=(decision.until - now) // _MILLISECOND,
                )
        self._note_ends([task for task, _ in plan.waiting])

    def _note_ends(self, tasks: Iterable[_state.TaskEntry]) -> None:
        """Plans a pass for the moment at which the first wait ends."""
        for task in tasks:
            if task.near_wait is not None:
                until = task.near_wait.until
                if self._next_end is None or until < self._next_end:
                    self._next_end = until


def adapt_policy(
    policy: placement.PlacementPolicy, bounds: settings.Bounds
) -> placement.PlacementPolicy:
    """Returns the policy for a deployment's slowdown on other racks."""
    if bounds.remote_slowdown is None:
        return policy
    return attrs.evolve(policy, prefers_sound_near=True)


def _suspend(tasks: list[_state.TaskEntry]) -> None:
    """Records that tasks wait for lack of capacity, not by choice."""
    for task in tasks:
        if task.is_awaiting_near_place:
            assert task.near_wait is not None
            task.near_wait = attrs.evolve(task.near_wait, is_active=False)

"""Records what was disturbed when, and describes violations with it."""

import asyncio
from collections.abc import Iterator
import contextlib
import enum
import math

import attrs

from soak.rota import _calls
from standins import history

# Disturbances that ended this long before a run may have to do with it.
_RELEVANT_S = 12.0


@attrs.define
class Event:
    """A disturbance of an instance, a runner or the store; loop times in s."""

    scope: str
    text: str
    start: float
    end: float = math.inf

    def __str__(self) -> str:
        end = "now" if self.end == math.inf else f"{self.end:.2f} s"
        return f"{self.scope} {self.text} from {self.start:.2f} s to {end}"


class EventLog:
    """All disturbances so far."""

    def __init__(self) -> None:
        self._events: list[Event] = []

    @contextlib.contextmanager
    def note(self, scope: str, text: str) -> Iterator[None]:
        """Notes a disturbance while the context lasts."""
        time = asyncio.get_running_loop().time
        event = Event(scope, text, time())
        self._events.append(event)
        try:
            yield
        finally:
            event.end = time()

    def list_relevant(
        self, runners: set[str], since: float, until: float
    ) -> list[Event]:
        """Returns the disturbances of runners, instances and the store.

        Args:
            runners: The runners whose disturbances matter.
            since: Start of the time in question.
            until: Its end.
        """
        return [
            event
            for event in self._events
            if event.start <= until and event.end >= since - _RELEVANT_S
            if event.scope in runners or not event.scope.startswith("r-")
        ]


def describe(
    task: str,
    runs: list[history.RunRecord],
    starts: list[_calls.Call],
    late_calls: list[_calls.Call],
    log: EventLog,
) -> list[str]:
    """Returns lines that tell apart the causes of a violation.

    Args:
        task: Name of the task.
        runs: All runs of the task.
        starts: All start commands for it.
        late_calls: Other calls that were carried out late.
        log: The disturbances.
    """
    lines = [f"  {task}:"]
    for run in runs:
        start = _find_start(run, starts)
        late = " by a LATE start" if start and start.is_late else ""
        end = "runs"
        if run.exited is not None:
            end = f"{run.exit_reason} at {run.exited:.3f} s"
        acknowledged = "not acknowledged"
        if run.acknowledged is not None:
            acknowledged = f"acknowledged at {run.acknowledged:.3f} s"
        lapsed = ", lease expired before" if run.is_expired else ""
        lines.append(
            f"    run {run.run} on {run.runner} of {run.incarnation}, token "
            f"{run.token}: started at {run.started:.3f} s{late}, {end}, exit "
            f"{run.exit_number}, {acknowledged}{lapsed}"
        )
    lines += [f"    {start}" for start in starts]
    if runs:
        since = min(run.started for run in runs)
        until = max(run.exited or run.started for run in runs)
        runners = {run.runner for run in runs}
        for call in late_calls:
            if call.runner in runners and call.passed_on is not None:
                if since - _RELEVANT_S <= call.passed_on <= until:
                    lines.append(f"    {call}")
        relevant = log.list_relevant(runners, since, until)
        lines += [f"    {event}" for event in relevant]
    return lines


class Cause(enum.Enum):
    """Whether the runs of a task follow start commands carried out late."""

    NOT_LATE = "without a late start"
    LATE = "with a late start"
    LATE_AND_FIRST = "with a late start before a scheduler reached the runner"


def find_cause(
    runs: list[history.RunRecord], starts: list[_calls.Call]
) -> Cause:
    """Returns whether a start that was carried out late is among the runs.

    Fencing tokens cannot shut out a command that overtakes the first one of
    the scheduler to an incarnation.
    """
    found = [_find_start(run, starts) for run in runs]
    late = [start for start in found if start is not None and start.is_late]
    if not late:
        return Cause.NOT_LATE
    if all(start.is_first for start in late):
        return Cause.LATE_AND_FIRST
    return Cause.LATE


def _find_start(
    run: history.RunRecord, starts: list[_calls.Call]
) -> _calls.Call | None:
    """Returns the start command that a run follows."""
    earlier = [
        start
        for start in starts
        if (start.runner, start.run) == (run.runner, run.run)
        and start.passed_on is not None
        and start.passed_on <= run.started
    ]
    return max(earlier, key=_get_passed_on, default=None)


def _get_passed_on(start: _calls.Call) -> float:
    return start.passed_on or 0.0

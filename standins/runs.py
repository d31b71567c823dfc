"""A run in progress on a stand-in of a runner."""

import math

import attrs


@attrs.define
class Run:
    """A run in progress; loop times are in seconds.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        started: Loop time at which it started.
        work_s: Seconds that it takes at full speed.
        exit_reason: Exit reason that the runner reports for it.
        token: Fencing token of the start.
        speed_limit: Share of its full speed at which it may run, 0 to 1.
        runner_speed: Share of its full speed that the runner gives it without
            a speed limit.
        work_done_s: Part of ``work_s`` that was done when its speed last
            changed.
        limit_changed: Loop time at which its speed last changed; later than
            now while it resumes from a checkpoint.
        stop_time: Loop time at which a command stops it; infinite without one.
    """

    task: str
    run: int
    started: float
    work_s: float
    exit_reason: str
    token: int
    speed_limit: float = 1.0
    runner_speed: float = 1.0
    work_done_s: float = 0.0
    limit_changed: float = 0.0
    stop_time: float = math.inf

    @property
    def is_stopping(self) -> bool:
        """Whether a command to stop it has arrived."""
        return self.stop_time < math.inf

    @property
    def speed(self) -> float:
        """Share of its full speed at which it runs, 0 to 1."""
        return self.speed_limit * self.runner_speed

    @property
    def exit_time(self) -> float:
        """Loop time at which it exits."""
        if not self.speed:
            return self.stop_time
        own_exit_time = (
            self.limit_changed + (self.work_s - self.work_done_s) / self.speed
        )
        return min(self.stop_time, own_exit_time)

    def compute_work_done(self, now: float) -> float:
        """Returns the seconds of its work that are done."""
        elapsed = max(0.0, now - self.limit_changed)
        return min(self.work_s, self.work_done_s + elapsed * self.speed)

    def compute_progress(self, now: float) -> float:
        """Returns the share of its work that is done, 0 to 1."""
        return min(1.0, self.compute_work_done(now) / self.work_s)

    def set_speed_limit(self, now: float, speed_limit: float) -> None:
        """Changes the share of its full speed at which it may run."""
        self._advance(now)
        self.speed_limit = speed_limit

    def set_runner_speed(self, now: float, runner_speed: float) -> None:
        """Changes the share of its full speed that the runner gives it."""
        self._advance(now)
        self.runner_speed = runner_speed

    def _advance(self, now: float) -> None:
        self.work_done_s = self.compute_work_done(now)
        self.limit_changed = max(self.limit_changed, now)

"""What the active scheduler reports of the wait of new batch work."""

import attrs

from tamarackhatch.model import _resources


@attrs.frozen
class BlockedTask:
    """Size of a task that has waited for capacity for a while.

    Attributes:
        resources: Resources that it asks for.
        image: Image of a best-effort task, on which it depends where the task
            may run; empty for other tasks.
    """

    resources: _resources.Resources
    image: str = ""


@attrs.frozen
class WorkPoint:
    """Work that goes before a new job of a demand.

    Attributes:
        demand: Millicores that the job asks for.
        work: Work that goes before it, in millicore seconds, by the
            submitters' estimates.
    """

    demand: int
    work: int


@attrs.frozen
class WaitLevel:
    """Waiting work of one priority.

    Attributes:
        priority: The priority.
        urgent_work: Waiting work of more urgent priorities, in millicore
            seconds.
        total_work: Waiting work of this and more urgent priorities.
        points: Work that goes before new jobs of this priority, by rising
            demand. It includes the more urgent work.
        late_points: The same for jobs that miss their objective, and go
            behind those that can still meet it.
    """

    priority: int
    urgent_work: int
    total_work: int
    points: tuple[WorkPoint, ...] = ()
    late_points: tuple[WorkPoint, ...] = ()

    def get_work_before(
        self, priority: int, demand: int, is_late: bool
    ) -> int:
        """Returns the work that goes before a job, in millicore seconds.

        Args:
            priority: Priority of the job, this one or a less urgent one.
            demand: Millicores that its tasks ask for together.
            is_late: Whether it misses its objective.
        """
        if priority > self.priority:
            return self.total_work
        work = self.urgent_work
        for point in self.late_points if is_late else self.points:
            if point.demand > demand:
                break
            work = point.work
        return work


@attrs.frozen
class WaitSummary:
    """Waiting batch work of one kind in one service.

    Attributes:
        service: Name of the service.
        is_best_effort: Whether these are best-effort tasks.
        rate: Work that the service gets done or places in a second, in
            millicore seconds.
        free: For each resource, the most that is free on any one runner; no
            runner may have all of these together.
        blocked: Smallest tasks that have waited for capacity for a while.
        levels: Waiting work, the most urgent priority first.
    """

    service: str
    is_best_effort: bool
    rate: int
    free: _resources.Resources
    blocked: tuple[BlockedTask, ...] = ()
    levels: tuple[WaitLevel, ...] = ()

    def get_work_before(
        self, priority: int, demand: int, is_late: bool
    ) -> int:
        """Returns the work that goes before a job, in millicore seconds.

        Args:
            priority: Priority of the job.
            demand: Millicores that its tasks ask for together.
            is_late: Whether it misses its objective.
        """
        level = next(
            (
                level
                for level in reversed(self.levels)
                if level.priority <= priority
            ),
            None,
        )
        if level is None:
            return 0
        return level.get_work_before(priority, demand, is_late)

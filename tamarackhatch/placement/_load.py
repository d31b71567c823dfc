"""What runs on a runner, as placement sees it."""

import collections
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _best_effort_usage

_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define
class ServingGroup:
    """Serving tasks of one job on a runner.

    Attributes:
        image: Their image.
        target: Bound of their tail latency, in milliseconds.
        tasks: How many there are.
        processors: What they reserve, in thousandths of a core.
    """

    image: str
    target: float
    tasks: int = 0
    processors: int = 0


@attrs.define(eq=False)
class RunnerLoad:
    """Reservations and use of one runner.

    Attributes:
        identifier: The runner.
        service: Its service.
        capacity: What its tasks may reserve together.
        labels: Its kind and its rack.
        reserved_cpu: Reserved by all tasks but best-effort tasks, in
            thousandths of a core.
        reserved_memory: Reserved by all tasks, in megabytes.
        reserved_accelerators: Reserved by all tasks.
        best_effort_cpu: Wanted by best-effort tasks, in thousandths of a core.
        batch_cpu: The part of reserved_cpu that serving tasks do not have.
        serving: Serving tasks by job.
        best_effort_cpu_by_image: Wanted by best-effort tasks, by image.
        best_effort_usage: Best-effort tasks at work there.
        step_counts: Tasks by job, occurrence and step.
    """

    identifier: str
    service: str
    capacity: model.Resources
    labels: tuple[str, ...] = ()
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_accelerators: int = 0
    best_effort_cpu: int = 0
    batch_cpu: int = 0
    serving: dict[str, ServingGroup] = attrs.field(factory=dict)
    best_effort_cpu_by_image: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    best_effort_usage: _best_effort_usage.BestEffortUsage = attrs.field(
        factory=_best_effort_usage.BestEffortUsage
    )
    step_counts: collections.Counter[tuple[str, int, int]] = attrs.field(
        factory=collections.Counter
    )

    @property
    def rack(self) -> str:
        """Name of its rack; empty without labels."""
        return self.labels[-1] if self.labels else ""

    def add(self, key: model.TaskKey, step: model.Step) -> None:
        """Counts a task in."""
        self._change(key, step, 1)

    def remove(self, key: model.TaskKey, step: model.Step) -> None:
        """Counts a task out."""
        self._change(key, step, -1)

    def has_capacity(self, step: model.Step) -> bool:
        """Tells whether a task of the step fits beside the others."""
        needs = step.reserved
        capacity = self.capacity
        return (
            self.reserved_cpu + needs.processors <= capacity.processors
            and self.reserved_memory + needs.memory_mb <= capacity.memory_mb
            and self.reserved_accelerators + needs.accelerators
            <= capacity.accelerators
        )

    def _change(self, key: model.TaskKey, step: model.Step, sign: int) -> None:
        needs = step.reserved
        self.reserved_cpu += sign * needs.processors
        self.reserved_memory += sign * needs.memory_mb
        self.reserved_accelerators += sign * needs.accelerators
        if step.is_best_effort:
            self.best_effort_cpu += sign * step.resources.processors
            self.best_effort_cpu_by_image[step.image] += (
                sign * step.resources.processors
            )
            if not self.best_effort_cpu_by_image[step.image]:
                del self.best_effort_cpu_by_image[step.image]
        elif step.is_serving:
            self._change_serving(key.job, step, sign)
        else:
            self.batch_cpu += sign * needs.processors
        name = (key.job, key.occurrence, key.step)
        self.step_counts[name] += sign
        if not self.step_counts[name]:
            del self.step_counts[name]

    def _change_serving(self, job: str, step: model.Step, sign: int) -> None:
        group = self.serving.get(job)
        if group is None:
            target = step.tail_latency_target / _MILLISECOND
            group = self.serving[job] = ServingGroup(step.image, target)
        group.tasks += sign
        group.processors += sign * step.resources.processors
        if not group.tasks:
            del self.serving[job]

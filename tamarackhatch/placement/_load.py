"""Reservations and CPU use of the tasks on a runner."""

import collections
import datetime
import typing

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _best_effort_usage

_MILLISECOND = datetime.timedelta(milliseconds=1)

_Key = typing.TypeVar("_Key")


@attrs.define
class ServingGroup:
    """Serving tasks of one job on a runner.

    Attributes:
        image: Their image.
        tail_latency_target_ms: Bound of their tail latency, in milliseconds.
        task_count: Number of tasks.
        processors: CPU that they request, in thousandths of a core.
    """

    image: str
    tail_latency_target_ms: float
    task_count: int = 0
    processors: int = 0


@attrs.define(eq=False)
class RunnerLoad:
    """Reservations and CPU use of the tasks on one runner.

    Attributes:
        identifier: Identifier of the runner.
        service: Its service.
        capacity: Resources that its tasks may reserve together.
        labels: Its kind and its rack.
        reserved_cpu: CPU that all tasks but best-effort tasks reserve, in
            thousandths of a core.
        reserved_memory_mb: Memory that all tasks reserve, in megabytes.
        reserved_accelerators: Number of accelerators that all tasks reserve.
        best_effort_cpu: CPU that best-effort tasks request, in thousandths of
            a core.
        transient_count: Number of tasks that are not long-running.
        batch_cpu: Part of reserved_cpu that serving tasks do not reserve.
        unassigned: Resources of runs there that are being stopped and belong
            to no task that is assigned to the runner.
        serving: Serving tasks by job.
        best_effort_cpu_by_image: CPU that best-effort tasks request, by image,
            in thousandths of a core.
        best_effort_usage: CPU use of the best-effort tasks that run there.
        step_counts: Number of tasks by job, occurrence and step.
        serving_changes: Number of changes of the serving tasks.
        best_effort_changes: Number of changes of the best-effort tasks.
        changes: Number of changes of all tasks.
    """

    identifier: str
    service: str
    capacity: model.Resources
    labels: tuple[str, ...] = ()
    reserved_cpu: int = 0
    reserved_memory_mb: int = 0
    reserved_accelerators: int = 0
    best_effort_cpu: int = 0
    transient_count: int = 0
    batch_cpu: int = 0
    unassigned: model.Resources = model.Resources()
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
    serving_changes: int = 0
    best_effort_changes: int = 0
    changes: int = 0

    @property
    def rack(self) -> str:
        """Name of its rack; empty without labels."""
        return self.labels[-1] if self.labels else ""

    @property
    def free_cpu(self) -> int:
        """CPU that nothing reserves, in thousandths of a core."""
        return (
            self.capacity.processors
            - self.unassigned.processors
            - self.reserved_cpu
        )

    def add_task(self, key: model.TaskKey, step: model.Step) -> None:
        """Adds the reservation of a task."""
        self._adjust(key, step, 1)

    def remove_task(self, key: model.TaskKey, step: model.Step) -> None:
        """Removes the reservation of a task."""
        self._adjust(key, step, -1)

    def copy(self) -> "RunnerLoad":
        """Returns a load to which tasks can be added without changing this.

        The CPU use of the best-effort tasks that run is shared, because it
        does not depend on tasks that are only placed.
        """
        return attrs.evolve(
            self,
            serving={
                job: attrs.evolve(group) for job, group in self.serving.items()
            },
            best_effort_cpu_by_image=self.best_effort_cpu_by_image.copy(),
            step_counts=self.step_counts.copy(),
        )

    def compute_free(self) -> model.Resources:
        """Returns the resources that nothing reserves or uses.

        Amounts are negative on a runner that has shrunk.
        """
        return (
            self.capacity
            - self.unassigned
            - model.Resources(
                self.reserved_cpu,
                self.reserved_memory_mb,
                self.reserved_accelerators,
            )
        )

    def has_capacity(self, step: model.Step) -> bool:
        """Returns whether a task of the step fits into the capacity left."""
        reservation = step.reserved
        capacity, unassigned = self.capacity, self.unassigned
        return (
            self.reserved_cpu + unassigned.processors + reservation.processors
            <= capacity.processors
            and self.reserved_memory_mb
            + unassigned.memory_mb
            + reservation.memory_mb
            <= capacity.memory_mb
            and self.reserved_accelerators
            + unassigned.accelerators
            + reservation.accelerators
            <= capacity.accelerators
        )

    def is_over_capacity(self) -> bool:
        """Returns whether more is reserved than there is.

        A runner's capacity may shrink while tasks run there.
        """
        reserved = self.unassigned + model.Resources(
            self.reserved_cpu,
            self.reserved_memory_mb,
            self.reserved_accelerators,
        )
        return not reserved.fits_in(self.capacity)

    def _adjust(self, key: model.TaskKey, step: model.Step, sign: int) -> None:
        reservation = step.reserved
        self.changes += 1
        self.reserved_cpu += sign * reservation.processors
        self.reserved_memory_mb += sign * reservation.memory_mb
        self.reserved_accelerators += sign * reservation.accelerators
        if not step.is_long_running:
            self.transient_count += sign
        if step.is_best_effort:
            self.best_effort_changes += 1
            self.best_effort_cpu += sign * step.resources.processors
            _add(
                self.best_effort_cpu_by_image,
                step.image,
                sign * step.resources.processors,
            )
        elif step.is_serving:
            self.serving_changes += 1
            self._adjust_serving(key.job, step, sign)
        else:
            self.batch_cpu += sign * reservation.processors
        step_key = (key.job, key.occurrence, key.step)
        _add(self.step_counts, step_key, sign)

    def _adjust_serving(self, job: str, step: model.Step, sign: int) -> None:
        group = self.serving.get(job)
        if group is None:
            target = step.tail_latency_target / _MILLISECOND
            group = self.serving[job] = ServingGroup(step.image, target)
        group.task_count += sign
        group.processors += sign * step.resources.processors
        if not group.task_count:
            del self.serving[job]


def _add(counter: collections.Counter[_Key], key: _Key, amount: int) -> None:
    """Adds to a count, and removes it at zero.

    Unlike ``counter[key] += amount``, this makes no call for a missing key.
    """
    count = counter.get(key, 0) + amount
    if count:
        counter[key] = count
    else:
        counter.pop(key, None)

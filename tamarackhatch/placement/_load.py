"""What runs on a runner, as placement sees it."""

import collections

import attrs

from tamarackhatch import model


@attrs.define(eq=False)
class RunnerLoad:
    """Reservations and use of one runner.

    Attributes:
        identifier: The runner.
        service: Its service.
        capacity: What its tasks may reserve together.
        labels: Its kind and its rack.
        reserved_cpu: Reserved by all tasks but fillers, in thousandths of a
            core.
        reserved_memory: Reserved by all tasks, in megabytes.
        reserved_accelerators: Reserved by all tasks.
        filler_cpu: Wanted by filler tasks, in thousandths of a core.
        serving_cpu: The part of reserved_cpu that serving tasks have.
        serving_images: Serving tasks by image.
        filler_cpus: Wanted by filler tasks, by image.
        step_counts: Tasks by job, occurrence and step.
    """

    identifier: str
    service: str
    capacity: model.Resources
    labels: tuple[str, ...] = ()
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_accelerators: int = 0
    filler_cpu: int = 0
    serving_cpu: int = 0
    serving_images: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    filler_cpus: collections.Counter[str] = attrs.field(
        factory=collections.Counter
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

    def has_room(self, step: model.Step) -> bool:
        """Tells whether a task of the step fits beside the others."""
        needs = step.reserved
        room = self.capacity
        return (
            self.reserved_cpu + needs.processors <= room.processors
            and self.reserved_memory + needs.memory_mb <= room.memory_mb
            and self.reserved_accelerators + needs.accelerators
            <= room.accelerators
        )

    def _change(self, key: model.TaskKey, step: model.Step, sign: int) -> None:
        needs = step.reserved
        self.reserved_cpu += sign * needs.processors
        self.reserved_memory += sign * needs.memory_mb
        self.reserved_accelerators += sign * needs.accelerators
        if step.is_filler:
            self.filler_cpu += sign * step.resources.processors
            self.filler_cpus[step.image] += sign * step.resources.processors
            if not self.filler_cpus[step.image]:
                del self.filler_cpus[step.image]
        elif step.is_serving:
            self.serving_cpu += sign * needs.processors
            self.serving_images[step.image] += sign
            if not self.serving_images[step.image]:
                del self.serving_images[step.image]
        name = (key.job, key.occurrence, key.step)
        self.step_counts[name] += sign
        if not self.step_counts[name]:
            del self.step_counts[name]

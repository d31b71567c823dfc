"""Amounts of processors, memory and accelerators."""

import attrs


@attrs.frozen
class Resources:
    """What a task asks for, or what a worker has.

    Attributes:
        processors: Thousandths of a processor core.
        memory_mb: Memory in MiB.
        accelerators: Whole accelerators.
    """

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Tells whether every amount is at most the available one."""
        return (
            self.processors <= available.processors
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

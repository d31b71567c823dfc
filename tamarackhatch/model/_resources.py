"""Amounts of processors, memory and accelerators."""

import attrs


@attrs.frozen
class Resources:
    """Resources that a task needs, or that a runner offers.

    Attributes:
        processors: Processor time, in thousandths of a core.
        memory_mb: Memory, in MiB.
        accelerators: Number of whole accelerators.
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
        """Returns whether every amount is at most the available amount."""
        return (
            self.processors <= available.processors
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

"""Amounts of a machine's resources."""

import attrs


@attrs.frozen
class Resources:
    """What a task needs or a runner has.

    Attributes:
        cpu: Processor time, in thousandths of a core.
        memory: Memory, in megabytes.
        accelerators: Number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits_in(self, room: "Resources") -> bool:
        """Tells whether every amount is at most that of the room."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )

    def add(self, other: "Resources") -> "Resources":
        """Returns the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

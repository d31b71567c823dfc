"""Kinds of troubles, as data; `soak.rota._injection` carries them out."""

import datetime
import enum
import signal

import attrs

# Stands for the instance that is the active scheduler when a trouble begins.
ACTIVE_SCHEDULER = -1

Way = enum.Enum("Way", "BOTH REQUESTS ANSWERS")
StoreKind = enum.Enum("StoreKind", "DOWN SILENT SLOW LATE REFUSING LOST")


@attrs.frozen
class Trouble:
    """A trouble; machines of runners and instances are given by index."""


@attrs.frozen
class RunnerCut(Trouble):
    """Runners are cut off from the instances.

    Attributes:
        machines: Their machines.
        way: What does not get through.
        is_cut_from_store: Whether they are cut off from the store as well.
        restarts: Whether they are killed and start again behind the cut.
    """

    machines: tuple[int, ...]
    way: Way
    is_cut_from_store: bool
    restarts: bool


@attrs.frozen
class RunnerRestart(Trouble):
    """Runners are killed, and start again under their identifiers.

    Attributes:
        machines: Their machines.
        is_dark: Whether connections are ignored meanwhile, not refused.
    """

    machines: tuple[int, ...]
    is_dark: bool


@attrs.frozen
class RunnerReplacement(Trouble):
    """A runner ends, and another one starts under a new identifier.

    Attributes:
        machine: Its machine.
        drains: Whether it drains first, or is killed at once.
    """

    machine: int
    drains: bool


@attrs.frozen
class RunnerPause(Trouble):
    """The processes of runners get a share of the time, or none."""

    machines: tuple[int, ...]
    share: float


@attrs.frozen
class InstancePause(Trouble):
    """The processes of instances get a share of the time, or none."""

    instances: tuple[int, ...]
    share: float


@attrs.frozen
class InstanceEnd(Trouble):
    """Instances get a signal, one after the other, and start again later.

    Attributes:
        instances: The instances.
        signal: The signal.
        gap: Time between two of them.
    """

    instances: tuple[int, ...]
    signal: signal.Signals
    gap: datetime.timedelta


@attrs.frozen
class LateCalls(Trouble):
    """A share of the calls to runners is carried out seconds later."""

    share: float


@attrs.frozen
class DelayedAnswers(Trouble):
    """A share of the answers of some runners is delayed.

    Attributes:
        machines: Their machines.
        share: The share.
        longest_s: Longest delay, in seconds.
    """

    machines: tuple[int, ...]
    share: float
    longest_s: float


@attrs.frozen
class StoreTrouble(Trouble):
    """The store fails, is slow, or refuses some instances.

    Attributes:
        kind: What it does.
        instances: The instances that it refuses; empty for all.
    """

    kind: StoreKind
    instances: tuple[int, ...]


@attrs.frozen
class BulkCancellation(Trouble):
    """Callers cancel a share of the open jobs."""

    share: float


@attrs.frozen
class Burst(Trouble):
    """More jobs of `roster-build` arrive."""

    factor: float


@attrs.frozen
class PlannedTrouble:
    """A trouble with its time, counted from the start of the play."""

    start: datetime.timedelta
    duration: datetime.timedelta
    fault: Trouble

    def __str__(self) -> str:
        start_s = self.start.total_seconds()
        length_s = self.duration.total_seconds()
        return f"{start_s:6.2f} s, for {length_s:4.1f} s: {self.fault}"

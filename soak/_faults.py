"""Kinds of faults, as data; `soak._injection` carries them out."""

import datetime
import enum
import signal

import attrs

# Stands for the instance that is the active scheduler when the fault begins.
ACTIVE_SCHEDULER = -1

StoreKind = enum.Enum("StoreKind", "DOWN SILENT SLOW VERY_SLOW HISTORY_LOST")
InstanceKind = enum.Enum("InstanceKind", "REFUSED BUSY ANSWERS_LOST")
LinkKind = enum.Enum("LinkKind", "DELAY RESET CUT_REQUESTS CUT_ANSWERS DROP")
PauseKind = enum.Enum("PauseKind", "STOPPED STARVED")
RunnerKind = enum.Enum("RunnerKind", "FAILS SLOW HANGS RESTARTS DRAINS")


@attrs.frozen
class Fault:
    """A fault; instances and runners are given by index."""


@attrs.frozen
class ProcessFault(Fault):
    """An instance gets a signal; later it is started again or continued."""

    instance: int
    signal: signal.Signals


@attrs.frozen
class StoreFault(Fault):
    """The store fails for all instances, is slow, or loses its history."""

    kind: StoreKind


@attrs.frozen
class InstanceStoreFault(Fault):
    """The store answers one instance 503 or 429, or not after a write."""

    instance: int
    kind: InstanceKind


@attrs.frozen
class StoreLinkFault(Fault):
    """The link from one instance to the store is disturbed."""

    instance: int
    kind: LinkKind


@attrs.frozen
class RunnerLinkFault(Fault):
    """The link from all instances to one runner is disturbed."""

    runner: int
    kind: LinkKind


@attrs.frozen
class RunnerFault(Fault):
    """A runner fails all tasks, is slow, hangs, restarts or drains."""

    runner: int
    kind: RunnerKind


@attrs.frozen
class RunnerPause(Fault):
    """The process of a runner is stopped, or runs a fifth of the time."""

    runner: int
    kind: PauseKind


@attrs.frozen
class Evacuation(Fault):
    """The operator evacuates a data centre, and returns it to service."""

    data_centre: str


@attrs.frozen
class ConfigurationChange(Fault):
    """The operator adds a queue."""


@attrs.frozen
class Burst(Fault):
    """Callers submit many jobs at once."""

    jobs: int


@attrs.frozen
class PlannedFault:
    """A fault with its time, counted from the start of the schedule."""

    start: datetime.timedelta
    duration: datetime.timedelta
    fault: Fault

    def __str__(self) -> str:
        start_s = self.start.total_seconds()
        length_s = self.duration.total_seconds()
        return f"{start_s:6.2f} s, for {length_s:4.1f} s: {self.fault}"

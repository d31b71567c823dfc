"""Kinds of faults, as data; `soak._injection` carries them out."""

import datetime
import enum

import attrs

# Index that stands for the instance that is the active scheduler when the
# fault begins.
ACTIVE_SCHEDULER = -1


class LinkFault(enum.Enum):
    """What a proxy does to the connections of a link.

    Attributes:
        DELAY: Everything arrives later.
        RESET: Open connections are reset, and new ones are served.
        CUT_REQUESTS: What clients send arrives after the fault has ended.
        CUT_ANSWERS: What servers send arrives after the fault has ended.
        DROP: Everything is discarded, and no connection is closed.
    """

    DELAY = "delay"
    RESET = "reset"
    CUT_REQUESTS = "cut requests"
    CUT_ANSWERS = "cut answers"
    DROP = "drop"


@attrs.frozen
class Fault:
    """A fault; the index of an instance may be `ACTIVE_SCHEDULER`."""


@attrs.frozen
class StopProcess(Fault):
    """An instance gets SIGTERM, and starts again afterwards."""

    instance: int


@attrs.frozen
class KillProcess(Fault):
    """An instance gets SIGKILL, and starts again afterwards."""

    instance: int


@attrs.frozen
class PauseProcess(Fault):
    """An instance gets SIGSTOP, and SIGCONT afterwards."""

    instance: int


@attrs.frozen
class StoreUnavailable(Fault):
    """The store answers every call with 503."""


@attrs.frozen
class StoreSilent(Fault):
    """The store answers no call."""


@attrs.frozen
class StoreSlow(Fault):
    """The store takes this many times as long as usual."""

    factor: float


@attrs.frozen
class StoreHistoryLost(Fault):
    """The store discards its past changes."""


@attrs.frozen
class StoreRefusesInstance(Fault):
    """The store refuses one instance with a status."""

    instance: int
    status: int


@attrs.frozen
class StoreAnswersLost(Fault):
    """Transactions of one instance are carried out, but not answered."""

    instance: int


@attrs.frozen
class StoreLinkFault(Fault):
    """The link from one instance to the store is disturbed."""

    instance: int
    kind: LinkFault


@attrs.frozen
class RunnerLinkFault(Fault):
    """The link from all instances to one runner is disturbed."""

    runner: int
    kind: LinkFault


@attrs.frozen
class RunnerFailsTasks(Fault):
    """All tasks that start on a runner fail."""

    runner: int


@attrs.frozen
class RunnerSlow(Fault):
    """A runner runs its tasks at a share of their speed; 0 for a hang."""

    runner: int
    speed: float


@attrs.frozen
class RunnerRestarts(Fault):
    """A runner loses its runs and starts again."""

    runner: int


@attrs.frozen
class RunnerDrains(Fault):
    """A runner drains, and is ready again afterwards."""

    runner: int


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
        return (
            f"{self.start.total_seconds():6.2f} s, for "
            f"{self.duration.total_seconds():4.1f} s: {self.fault}"
        )

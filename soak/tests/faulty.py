"""Runs ``tamarackhatch`` with a deliberate fault in its scheduler.

The last argument of the command line names the fault. Only tests use it: the
soak test must find each fault.
"""

import datetime
import sys
import typing

import attrs

from tamarackhatch import cli
from tamarackhatch import model
from tamarackhatch.scheduler import _command_fence
from tamarackhatch.scheduler import _evacuations
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _runner_reconciler
from tamarackhatch.scheduler import _state


class _EarlyReconciler(_runner_reconciler.RunnerReconciler):
    """Acknowledges exits before they are durable."""

    def _apply_exit(self, run_exit: model.RunExit) -> None:
        super()._apply_exit(run_exit)
        self._entry.pending_acks.clear()
        self._entry.acknowledged_exit = run_exit.number


class _ImpatientEntry(_fleet.RunnerEntry):
    """Takes the tasks of a runner that does not answer for lost at once."""

    def is_lease_expired(
        self, now: datetime.timedelta, kill_time: datetime.timedelta
    ) -> bool:
        return True


class _HastyEntry(_fleet.RunnerEntry):
    """Takes the runs of an expired lease for killed at once."""

    def is_lease_expired(
        self, now: datetime.timedelta, kill_time: datetime.timedelta
    ) -> bool:
        return super().is_lease_expired(now, datetime.timedelta())


class _StaleFence(_command_fence.CommandFence):
    """Keeps the first token of the term."""

    def record_unanswered_command(self) -> None:
        return


@attrs.define(eq=False)
class _StaleEntry(_fleet.RunnerEntry):
    """Has all commands carry the first token of the term."""

    fence: _command_fence.CommandFence = attrs.field(factory=_StaleFence)


class _ForgetfulTask(_state.TaskEntry):
    """Does not count failed runs."""

    failures = property(lambda self: 0)


class _BlindWatcher(_evacuations.EvacuationWatcher):
    """Does not know which data centres are evacuated."""

    def is_evacuated(self, data_centre: str) -> bool:
        return False


FAULTS: dict[str, tuple[typing.Any, type]] = {
    "acknowledge-early": (_runner_reconciler, _EarlyReconciler),
    "ignore-leases": (_fleet, _ImpatientEntry),
    "ignore-kills": (_fleet, _HastyEntry),
    "old-tokens": (_fleet, _StaleEntry),
    "ignore-failures": (_state, _ForgetfulTask),
    "ignore-evacuations": (_evacuations, _BlindWatcher),
}


if __name__ == "__main__":
    module, faulty_class = FAULTS[sys.argv.pop()]
    setattr(module, faulty_class.__bases__[0].__name__, faulty_class)
    cli.main()

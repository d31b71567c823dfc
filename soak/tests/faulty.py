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
from tamarackhatch.scheduler import _run_proofs
from tamarackhatch.scheduler import _runner_reconciler
from tamarackhatch.scheduler import _state


class _EarlyReconciler(_runner_reconciler.RunnerReconciler):
    """Acknowledges exits before they are durable."""

    def _apply_exit(self, run_exit: model.RunExit) -> None:
        super()._apply_exit(run_exit)
        self._entry.pending_acks.clear()
        self._entry.acknowledged_exit = run_exit.number


def _take_silence_for_proof(
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
    stop_timeout: datetime.timedelta,
) -> _run_proofs.Proof | None:
    """Takes the tasks of a runner that does not answer for lost at once."""
    return _run_proofs.Proof.NONE


def _take_expiry_for_proof(
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
    stop_timeout: datetime.timedelta,
) -> _run_proofs.Proof | None:
    """Takes the runs of an expired lease for killed at once."""
    if entry.is_lease_expired(now, datetime.timedelta()):
        return _run_proofs.Proof.NONE
    return None


class _StaleFence(_command_fence.CommandFence):
    """Keeps the first token of the term."""

    def require_higher_token(self) -> None:
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


# What each fault replaces: a module, a name there, and the replacement.
FAULTS: dict[str, tuple[typing.Any, str, typing.Any]] = {
    "acknowledge-early": (
        _runner_reconciler,
        "RunnerReconciler",
        _EarlyReconciler,
    ),
    "ignore-leases": (_run_proofs, "find_proof", _take_silence_for_proof),
    "ignore-kills": (_run_proofs, "find_proof", _take_expiry_for_proof),
    "old-tokens": (_fleet, "RunnerEntry", _StaleEntry),
    "ignore-failures": (_state, "TaskEntry", _ForgetfulTask),
    "ignore-evacuations": (_evacuations, "EvacuationWatcher", _BlindWatcher),
}


if __name__ == "__main__":
    setattr(*FAULTS[sys.argv.pop()])
    cli.main()

"""Tests what proves that the runs on a silent runner are over."""

import datetime

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _run_proofs

_Proof = _run_proofs.Proof
_SECOND = datetime.timedelta(seconds=1)
_STOP_TIMEOUT = 0.4 * _SECOND
_BORN = 17
_RECORD = model.Runner(
    "i-1", "office", "a:1", "here", False, model.Resources(), (), _BORN
)
# The runner's clock shows 100 s at monotonic time 0, and its lease ends at
# 105 s.
_CLOCK = 100 * _SECOND
_LEASE_END = 105 * _SECOND


def _make_entry() -> _fleet.RunnerEntry:
    entry = _fleet.make_runner_entry(_RECORD)
    entry.incarnation = _BORN
    entry.clock, entry.clock_read = _CLOCK, datetime.timedelta()
    entry.lease_end = _LEASE_END
    entry.missed_renewals = 1
    return entry


def _apply_rows(
    entry: _fleet.RunnerEntry, rows: list[float], born: int = _BORN
) -> None:
    for reading in rows:
        clock = reading * _SECOND
        record = attrs.evolve(_RECORD, incarnation=born, clock_reading=clock)
        entry.update_record(record, clock - _CLOCK)


@pytest.mark.parametrize(
    "rows, born, proof",
    [
        ([104.5, 106.0, 107.5, 109.0], _BORN, _Proof.CLOCK),
        ([105.001, 106.5, 108.0], _BORN, _Proof.CLOCK),
        # A process that goes on after a stop may write before it kills.
        ([104.5, 109.0], _BORN, None),
        ([104.5, 107.0, 108.5], _BORN, None),
        # The same row, read again.
        ([106.0, 106.0, 106.0], _BORN, None),
        # Rows that are written at once, for changes of the state.
        ([106.0, 106.1, 106.2], _BORN, None),
        ([102.0, 103.5, 105.0], _BORN, None),
        # Another incarnation, or one that is not known.
        ([106.0, 107.5, 109.0], _BORN + 1, None),
        ([106.0, 107.5, 109.0], 0, None),
    ],
)
def test_rows_after_the_lease_prove_that_runs_are_killed(
    rows: list[float], born: int, proof: _Proof | None
) -> None:
    """Guards against a start while a process has not killed its runs yet."""
    entry = _make_entry()
    _apply_rows(entry, rows, born)
    now = 7 * _SECOND
    assert _run_proofs.find_proof(entry, now, _STOP_TIMEOUT) is proof


def test_rows_before_a_later_lease_prove_nothing() -> None:
    """Guards against rows that are compared with an earlier lease end."""
    entry = _make_entry()
    _apply_rows(entry, [106.0, 107.5, 109.0])
    entry.lease_end = 107 * _SECOND
    now = 8 * _SECOND
    assert _run_proofs.find_proof(entry, now, _STOP_TIMEOUT) is None
    _apply_rows(entry, [110.5, 112.0])
    assert _run_proofs.find_proof(entry, now, _STOP_TIMEOUT) is None
    _apply_rows(entry, [113.5])
    assert _run_proofs.find_proof(entry, now, _STOP_TIMEOUT) is _Proof.CLOCK


@pytest.mark.parametrize(
    "row, accepted_s, lease_end_s, wait_s",
    [
        # Nine seconds after the last answer, less a stop and a start.
        (None, None, 105, 8.3),
        (None, None, 102, 8.3),
        # The lease is longer than that.
        (None, None, 108, 8.629),
        # The process lived until then, and its runs until the lease's end.
        (103, None, 105, 11.3),
        (105, None, 105, 13.3),
        (107, None, 105, 13.3),
        (None, 2.0, 105, 10.26),
        (None, 9.0, 105, 13.3),
        (103, 2.0, 105, 11.3),
    ],
)
def test_wait_without_proof_ends_in_time(
    row: float | None,
    accepted_s: float | None,
    lease_end_s: float,
    wait_s: float,
) -> None:
    """Guards against a wait that is shorter or longer than the rules permit.

    The runner's clock may be 2 % slow.
    """
    entry = _make_entry()
    entry.lease_end = lease_end_s * _SECOND
    if row is not None:
        _apply_rows(entry, [row])
    if accepted_s is not None:
        entry.life_signs.accepted_at = accepted_s * _SECOND
    for offset_s, proof in ((-0.01, None), (0.01, _Proof.NONE)):
        now = (wait_s + offset_s) * _SECOND
        assert _run_proofs.find_proof(entry, now, _STOP_TIMEOUT) is proof


def test_runner_that_never_answered_has_no_proof() -> None:
    """Guards against a clock that is taken to show 0."""
    entry = _fleet.make_runner_entry(_RECORD)
    entry.missed_renewals = 9
    assert _run_proofs.find_proof(entry, 900 * _SECOND, _STOP_TIMEOUT) is None


def test_replaced_runner_needs_no_wait() -> None:
    """Guards against a wait for runs that cannot exist."""
    entry = _make_entry()
    entry.record_replacement()
    assert (
        _run_proofs.find_proof(entry, _SECOND, _STOP_TIMEOUT)
        is _Proof.REPLACED
    )

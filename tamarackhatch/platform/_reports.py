"""Decodes the reports of runners."""

from collections.abc import Callable
import functools
import re
import typing

from tamarackhatch import model
from tamarackhatch.platform import _decoding

_TASK_NAME_PATTERN = re.compile(
    r"([^.\s]{1,64})\.(\d{1,9})\.(\d{1,9})\.(\d{1,9})", re.ASCII
)
# Length of a checkpoint, in characters. Published ones have 16. The progress
# of a job, with the checkpoints of its tasks, is one row of the store.
_MAX_CHECKPOINT = 256
# Length of what is said about an unreadable entry, in characters.
_MAX_FINDING = 200
# Each running task is listed in about one report a second.
_MAX_CACHED_TASK_KEYS = 65_536

_Row = typing.TypeVar("_Row")
_EXIT_REASON_BY_NAME: typing.Final = {
    reason.value: reason for reason in model.ExitReason
}


@functools.lru_cache(maxsize=_MAX_CACHED_TASK_KEYS)
def parse_task_key(text: str) -> model.TaskKey:
    """Returns the task that a wire name identifies.

    Raises:
        MalformedBodyError: The name is not ``JOB.OCCURRENCE.STEP.INDEX``.
    """
    match = _TASK_NAME_PATTERN.fullmatch(text)
    if match is None:
        raise _decoding.MalformedBodyError(
            f"task name {text[:80]!r} is not JOB.OCCURRENCE.STEP.INDEX"
        )
    job, occurrence, step, index = match.groups()
    return model.TaskKey(job, int(occurrence), int(step), int(index))


def decode_report(body: bytes) -> model.RunnerReport:
    """Returns the report in an answer to a renewal.

    Raises:
        MalformedBodyError: The body does not have the published form.
    """
    document = _decoding.decode_object(body)
    # "born" is the start of the runner's process in Unix ms, "clock_ms" the
    # reading of its steady clock, and "ended" the list of exits.
    running, unreadable_running = _decode_rows(
        _decode_running, _decoding.get_list(document, "running")
    )
    exits, unreadable_exits = _decode_rows(
        _decode_exit, _decoding.get_list(document, "ended")
    )
    return model.RunnerReport(
        _decoding.get_integer(document, "born"),
        _decoding.get_duration(document, "clock_ms"),
        running,
        exits,
        unreadable_running,
        unreadable_exits,
    )


def _decode_rows(
    decode: Callable[[typing.Any], _Row], rows: list[typing.Any]
) -> tuple[tuple[_Row, ...], tuple[str, ...]]:
    """Returns the decoded rows, and why each of the others is unreadable."""
    decoded: list[_Row] = []
    findings: list[str] = []
    for position, row in enumerate(rows):
        try:
            decoded.append(decode(row))
        except (
            _decoding.MalformedBodyError,
            LookupError,
            TypeError,
            ValueError,
        ) as error:
            findings.append(f"entry {position}: {str(error)[:_MAX_FINDING]}")
    return tuple(decoded), tuple(findings)


def _decode_running(row: list[typing.Any]) -> model.RunningTask:
    # Rows are [task, run, saved, percent, sample]: "saved" is the checkpoint,
    # "percent" the progress, and "sample" the tail latency of a serving task
    # in ms or the CPU use of another task in thousandths of a core.
    sample = (row[4] if len(row) > 4 else 0) or 0
    run, percent = row[1], row[3]
    # Most rows have the published types, and a report has a dozen rows.
    if not (
        type(run) is type(percent) is type(sample) is int
        and max(run, percent, sample) <= _decoding.MAX_MAGNITUDE
        and min(run, percent, sample) >= 0
    ):
        run = _decoding.check_integer(run, "run")
        percent = _decoding.check_integer(percent, "percent")
        sample = _decoding.check_integer(sample, "sample")
    return model.RunningTask(
        parse_task_key(row[0]),
        run,
        _decode_checkpoint(row[2]) if row[2] else "",
        percent,
        sample,
    )


def _decode_exit(row: list[typing.Any]) -> model.RunExit:
    # Rows are [number, task, run, how, saved]: "how" is the exit reason and
    # "saved" the last checkpoint.
    reason = _EXIT_REASON_BY_NAME.get(row[3], model.ExitReason.UNKNOWN)
    return model.RunExit(
        _decoding.check_integer(row[0], "number"),
        parse_task_key(row[1]),
        _decoding.check_integer(row[2], "run"),
        reason,
        _decode_checkpoint(row[4]),
    )


def _decode_checkpoint(value: object) -> str:
    """Returns a checkpoint; empty for none, and for one that is too long.

    Without it the task starts from the beginning. The rest of the entry
    counts, because a run or an exit must not be overlooked.
    """
    text = value or ""
    if not isinstance(text, str):
        raise _decoding.MalformedBodyError(
            f"checkpoint {_decoding.describe(value)} is not text"
        )
    return text if len(text) <= _MAX_CHECKPOINT else ""

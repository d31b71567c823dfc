"""Progress of a job, as the scheduler stores it."""

import typing

import attrs
import orjson

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.records import _types

# Length of a message, in characters; it may quote what the row holds.
_MAX_MESSAGE = 500


class MalformedRowError(errors.CodedError):
    """The value of a row of this project is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.BAD_RECORD, message[:_MAX_MESSAGE])


@attrs.frozen
class TaskHistory:
    """What a later scheduler has to know about an unfinished task.

    Attributes:
        last_exited_run: Highest run number known to have exited.
        failed_runs: Numbers of the runs that failed. A later scheduler
            receives their exits again if they were not acknowledged, and must
            not count them twice.
        checkpoint: Latest checkpoint; empty for none.
        crashes: For each run whose runner crashed, by number, what the run
            may have had to do with it.
        expected_crashes: How many crashes of its runner were to be expected
            while each of these runs lasted, in millionths. Unknown for runs
            that an earlier release recorded.
    """

    last_exited_run: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    crashes: dict[int, model.CrashRole] = attrs.field(factory=dict)
    expected_crashes: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen
class OccurrenceProgress:
    """Progress of one occurrence of a job.

    Attributes:
        done_tasks: For each step index, a bit set of the indices of the
            finished tasks.
        tasks: Histories of unfinished tasks, by step index and task index.
    """

    done_tasks: dict[int, int] = attrs.field(factory=dict)
    tasks: dict[tuple[int, int], TaskHistory] = attrs.field(factory=dict)


@attrs.frozen
class JobProgress:
    """Progress of a job.

    Attributes:
        state: State that is reported to callers.
        finished_occurrences: All occurrences with a lower number are finished.
        occurrences: Progress of the other occurrences, by number; those
            without progress are absent.
        parts: Number of further rows among which it is divided; 0 if it fits
            into one row.
    """

    state: model.JobState
    finished_occurrences: int = 0
    occurrences: dict[int, OccurrenceProgress] = attrs.field(factory=dict)
    parts: int = 0


def encode_progress(progress: JobProgress) -> bytes:
    """Returns the row value of a job's progress.

    The keys are single letters, because the row is rewritten at most exits of
    tasks and traffic of the store is billed by volume.
    """
    document: dict[str, typing.Any] = {"s": progress.state.value}
    if not progress.state.is_final:
        if progress.finished_occurrences:
            document["f"] = progress.finished_occurrences
        occurrences = {
            str(number): _encode_occurrence(occurrence)
            for number, occurrence in progress.occurrences.items()
        }
        if occurrences:
            document["o"] = occurrences
    return orjson.dumps(document)


def decode_progress(value: bytes) -> JobProgress:
    """Returns the progress of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        progress = JobProgress(
            model.JobState(document["s"]),
            document.get("f", 0),
            {
                int(number): _decode_occurrence(occurrence)
                for number, occurrence in document.get("o", {}).items()
            },
        )
        _types.check_types(progress)
        return progress
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        # An enumeration quotes the value that it rejects, which may be nested
        # too deeply for that.
        RecursionError,
    ) as error:
        raise MalformedRowError(
            f"malformed job progress in a progress row: {error!r}"
        ) from error


def _encode_occurrence(
    occurrence: OccurrenceProgress,
) -> dict[str, typing.Any]:
    document: dict[str, typing.Any] = {
        "d": {
            str(step): f"{bits:x}"
            for step, bits in occurrence.done_tasks.items()
        },
        "t": [
            [
                step,
                index,
                history.last_exited_run,
                history.failed_runs,
                history.checkpoint,
            ]
            for (step, index), history in occurrence.tasks.items()
        ],
    }
    # Not in "t", because earlier releases read exactly five values there.
    crashes = [
        [step, index, [[run, int(role)] for run, role in crashes.items()]]
        for (step, index), history in occurrence.tasks.items()
        if (crashes := history.crashes)
    ]
    if crashes:
        document["c"] = crashes
    expected = [
        [step, index, list(history.expected_crashes.items())]
        for (step, index), history in occurrence.tasks.items()
        if history.expected_crashes
    ]
    if expected:
        document["e"] = expected
    return document


def _decode_occurrence(document: dict[str, typing.Any]) -> OccurrenceProgress:
    crashes = {
        (step, index): {run: model.CrashRole(role) for run, role in roles}
        for step, index, roles in document.get("c", [])
    }
    expected = {
        (step, index): dict(counts)
        for step, index, counts in document.get("e", [])
    }
    return OccurrenceProgress(
        {int(step): int(bits, 16) for step, bits in document["d"].items()},
        {
            (step, index): TaskHistory(
                run,
                tuple(failed),
                checkpoint,
                crashes.get((step, index), {}),
                expected.get((step, index), {}),
            )
            for step, index, run, failed, checkpoint in document["t"]
        },
    )

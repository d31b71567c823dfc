"""Finds tasks that run twice, and tells the forms of the rule apart."""

from collections.abc import Iterator
from collections.abc import Sequence
import enum
import typing

# An instance in touch has this long to learn of an exit or a completion.
_NOTICE_S = 1.0


class Form(enum.Enum):
    """How a task ran twice.

    Attributes:
        AT_ONCE: Two runs of the task at the same time.
        AFTER_DONE: A start after a run was done, and that exit is
            acknowledged before or after the start, without a lease that
            expired in between.
        AFTER_NOTICE: A start over a second after such an acknowledgement, or
            after the job was shown as completed. Because of this time bound,
            the form does not hold for starts that a runner carried out late.
    """

    AT_ONCE = "at once"
    AFTER_DONE = "after done"
    AFTER_NOTICE = "after notice"


class Run(typing.Protocol):
    """What is known of a run; times are in seconds on one clock."""

    runner: str
    incarnation: int
    run: int
    started: float
    exited: float | None
    exit_reason: str
    acknowledged: float | None
    is_late: bool

    @property
    def is_exit_acknowledged(self) -> bool:
        """Whether its exit was acknowledged before the lease expired."""


def find_repetitions(
    runs: Sequence[Run], completed: float | None
) -> Iterator[tuple[Form, str]]:
    """Yields how a task ran twice, with the two runs in words.

    Steps whose copies may run in parallel are not exempt, because no
    scheduler starts copies.

    Args:
        runs: Runs of one task, ordered by their starts.
        completed: Time at which its job was first shown as completed; None if
            it was not.
    """
    for index, later in enumerate(runs):
        if (
            completed is not None
            and not later.is_late
            and later.started > completed + _NOTICE_S
        ):
            yield Form.AFTER_NOTICE, (
                f"{_describe(later)}, its job was shown as completed at "
                f"{completed:.2f} s"
            )
        for earlier in runs[:index]:
            if earlier.exited is None or earlier.exited > later.started:
                yield Form.AT_ONCE, (
                    f"{_describe(later)} while {_describe(earlier)}"
                )
            elif (
                earlier.exit_reason == "done" and earlier.is_exit_acknowledged
            ):
                yield from _compare_with_done(earlier, later)


def _compare_with_done(earlier: Run, later: Run) -> Iterator[tuple[Form, str]]:
    assert earlier.acknowledged is not None
    text = (
        f"{_describe(later)} after {_describe(earlier)}, acknowledged at "
        f"{earlier.acknowledged:.2f} s"
    )
    yield Form.AFTER_DONE, text
    if later.is_late:
        return
    if later.started > earlier.acknowledged + _NOTICE_S:
        yield Form.AFTER_NOTICE, text


def _describe(run: Run) -> str:
    end = "runs"
    if run.exited is not None:
        end = f"{run.exit_reason or 'ended'} at {run.exited:.2f} s"
    return (
        f"run {run.run} on {run.runner} of {run.incarnation} "
        f"(started at {run.started:.2f} s, {end})"
    )

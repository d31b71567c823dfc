"""Computes what the runs on each runner reserve."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import operator
import typing

from tamarackhatch import model


class Run(typing.Protocol):
    """What is known of a run; times are in seconds on one clock."""

    runner: str
    task: str
    started: float
    exited: float | None


_Run = typing.TypeVar("_Run", bound=Run)


def list_reserved(
    runs: Iterable[_Run], get_reservation: Callable[[str], model.Resources]
) -> Iterator[tuple[_Run, model.Resources]]:
    """Yields each run with what is reserved on its runner at its start.

    Args:
        runs: Runs on any runners.
        get_reservation: Returns what a task reserves.
    """
    by_runner: dict[str, list[_Run]] = {}
    key = operator.attrgetter("started")
    for run in sorted(runs, key=key):
        by_runner.setdefault(run.runner, []).append(run)
    for group in by_runner.values():
        current: list[_Run] = []
        for time, items in itertools.groupby(group, key):
            started = list(items)
            current = _select_lasting([*current, *started], time)
            reserved = model.Resources()
            for run in current:
                reserved += get_reservation(run.task)
            for run in started:
                if _select_lasting([run], time):
                    yield run, reserved
                else:
                    yield run, reserved + get_reservation(run.task)


def _select_lasting(runs: list[_Run], time: float) -> list[_Run]:
    return [run for run in runs if run.exited is None or run.exited > time]

"""Copies of loads."""

import datetime
import typing

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import placement

_RESOURCES = model.Resources(2_000, 1_000, 1)
_BATCH = model.Step(1, _RESOURCES)
_SERVING = model.Step(
    1,
    _RESOURCES,
    is_long_running=True,
    image="serving",
    tail_latency_target=datetime.timedelta(milliseconds=50),
)
_BEST_EFFORT = model.Step(1, _RESOURCES, is_best_effort=True, image="report")


def _describe(load: placement.RunnerLoad) -> dict[str, typing.Any]:
    """Returns copies of all values, apart from the usage that is shared."""
    values = attrs.asdict(load)
    del values["best_effort_usage"]
    return values


@pytest.mark.parametrize("step", [_BATCH, _SERVING, _BEST_EFFORT])
@pytest.mark.parametrize("other", [_BATCH, _SERVING, _BEST_EFFORT])
def test_copy_can_be_changed_alone(
    step: model.Step, other: model.Step
) -> None:
    """Guards against a dry run that reserves capacity on real runners.

    Also for tasks of a job and step that run on the runner already.
    """
    load = placement.RunnerLoad("r", "s", model.Resources(16_000, 64_000, 8))
    load.add_task(model.TaskKey("job", 0, 0, 0), step)
    before = _describe(load)
    copied = load.copy()
    assert _describe(copied) == before
    for job in ("job", "other"):
        copied.add_task(model.TaskKey(job, 0, 0, 1), other)
    assert _describe(load) == before
    copied.remove_task(model.TaskKey("job", 0, 0, 0), step)
    assert _describe(load) == before

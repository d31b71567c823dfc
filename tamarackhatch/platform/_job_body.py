"""Decodes jobs that callers submit over the platform's interface."""

import datetime
import typing

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.platform import _decoding
from tamarackhatch.platform import _registry

_MAX_SPECIFICATION_BYTES = 4000
_MAX_TASKS = 20_000
# The row of a job has room for fewer.
_MAX_STEPS = 1600
_UNIX_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)


class MalformedJobError(errors.CodedError):
    """A submitted job is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.BAD_JOB, message)


def decode_job(
    identifier: str, queue: model.Queue, body: bytes, now: datetime.datetime
) -> model.Job:
    """Returns the job that a request body describes.

    Args:
        identifier: Identifier of the job.
        queue: Queue that the job is submitted to.
        body: The request body.
        now: Time of acceptance, in UTC.

    Raises:
        MalformedJobError: The body is malformed.
    """
    try:
        document = _decoding.decode_object(body)
        specification = _decoding.get_text(document, "spec")
        if len(specification.encode()) > _MAX_SPECIFICATION_BYTES:
            raise MalformedJobError(
                f"spec is longer than {_MAX_SPECIFICATION_BYTES} bytes"
            )
        items = _decoding.get_list(document, "steps")
        if len(items) > _MAX_STEPS:
            raise MalformedJobError(f"a job has more than {_MAX_STEPS} steps")
        steps = tuple(
            _decode_step(_decoding.get_object(item, f"steps[{index}]"), index)
            for index, item in enumerate(items)
        )
        schedule = _decode_schedule(document)
    except _decoding.MalformedBodyError as error:
        raise MalformedJobError(error.message) from error
    if not steps:
        raise MalformedJobError("a job needs at least one step")
    if sum(step.count for step in steps) > _MAX_TASKS:
        raise MalformedJobError(f"a job has more than {_MAX_TASKS} tasks")
    return model.Job(identifier, queue, specification, steps, now, schedule)


def _decode_schedule(
    document: dict[str, typing.Any],
) -> model.Schedule | None:
    count = _decoding.get_integer(document, "repeat_count")
    if count <= 0:
        return None
    interval = _decoding.get_duration(document, "interval_ms")
    if interval < datetime.timedelta():
        raise MalformedJobError("interval_ms is negative")
    try:
        first = _UNIX_EPOCH + _decoding.get_duration(document, "first_run_ms")
        schedule = model.Schedule(first, interval, count)
        schedule.get_due(count - 1)
    except OverflowError as error:
        raise MalformedJobError(
            "an occurrence is due after the year 9999"
        ) from error
    return schedule


def _decode_step(document: dict[str, typing.Any], index: int) -> model.Step:
    count = _decoding.get_integer(document, "count")
    if count < 1:
        raise MalformedJobError(f"steps[{index}].count must be at least 1")
    after = _decoding.get_list(document, "after")
    if not all(
        isinstance(step, int)
        and not isinstance(step, bool)
        and 0 <= step < index
        for step in after
    ):
        raise MalformedJobError(
            f"steps[{index}].after must name earlier steps"
        )
    # "fills" marks a best-effort task, "requires" names a label, "affinity" a
    # rack. "anti_affinity" is the most tasks of the step on one runner,
    # "target_ms" the tail latency target, and "may_miss" the number of
    # long-running tasks that may be unavailable at once.
    return model.Step(
        count=count,
        resources=_registry.decode_resources(document),
        estimate=_decoding.get_duration(document, "est_runtime_ms"),
        after=tuple(after),
        is_gang=_decoding.get_flag(document, "gang"),
        is_checkpointing=_decoding.get_flag(document, "checkpointing"),
        is_rack_sensitive=_decoding.get_flag(document, "rack_sensitive"),
        is_speculative=_decoding.get_flag(document, "speculative"),
        is_long_running=_decoding.get_flag(document, "long_running"),
        is_best_effort=_decoding.get_flag(document, "fills"),
        required_label=_decoding.get_text(document, "requires"),
        preferred_rack=_decoding.get_text(document, "affinity"),
        max_per_runner=_decoding.get_integer(document, "anti_affinity"),
        image=_decoding.get_text(document, "image"),
        tail_latency_target=_decoding.get_duration(document, "target_ms"),
        max_unavailable=_decoding.get_integer(document, "may_miss"),
    )

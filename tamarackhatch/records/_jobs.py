"""JSON form of a job, in the store and on the project's own interface."""

import datetime
import typing

import attrs
import orjson

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# For the attributes of a step that have another name in stored rows.
_STORED_NAME_BY_ATTRIBUTE: typing.Final = {
    "is_long_running": "is_lasting",
    "is_best_effort": "is_filler",
    "tail_latency_target": "tail_target",
    "max_unavailable": "may_miss",
}
_ATTRIBUTE_BY_STORED_NAME: typing.Final = {
    stored: attribute
    for attribute, stored in _STORED_NAME_BY_ATTRIBUTE.items()
}


class JobTooLargeError(errors.CodedError):
    """A job cannot be stored."""

    def __init__(self, size: int) -> None:
        super().__init__(
            errors.ErrorCode.BAD_JOB,
            f"the job takes {size} bytes in the store, of which a row holds "
            f"{_limits.MAX_VALUE_BYTES}: it needs fewer steps, or shorter "
            "texts in them",
        )


def check_job_size(job: model.Job) -> None:
    """Checks whether a job can be stored.

    Raises:
        JobTooLargeError: It cannot.
    """
    size = len(encode_job(job))
    if size > _limits.MAX_VALUE_BYTES:
        raise JobTooLargeError(size)


def encode_job(job: model.Job) -> bytes:
    """Returns the row value of a job."""
    document: dict[str, typing.Any] = {
        "queue": _encode_queue(job.queue),
        "specification": job.specification,
        "steps": [_encode_step(step) for step in job.steps],
        "accepted_ms": (job.accepted_at - _EPOCH) // _MILLISECOND,
        "term": job.term,
    }
    if job.schedule is not None:
        document["schedule"] = {
            "first_ms": (job.schedule.first - _EPOCH) // _MILLISECOND,
            "interval_ms": job.schedule.interval // _MILLISECOND,
            "count": job.schedule.count,
        }
    return orjson.dumps(document)


def decode_job(identifier: str, value: bytes) -> model.Job:
    """Returns the job of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        schedule = document.get("schedule")
        job = model.Job(
            identifier,
            _decode_queue(document["queue"]),
            document["specification"],
            tuple(_decode_step(step) for step in document["steps"]),
            _EPOCH + document["accepted_ms"] * _MILLISECOND,
            None if schedule is None else _decode_schedule(schedule),
            document.get("term", 0),
        )
        _types.check_types(job)
        _check_steps(job.steps)
        return job
    except (
        ArithmeticError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise _progress.MalformedRowError(
            f"malformed job row {identifier}: {error!r}"
        ) from error


def decode_queue_name(identifier: str, value: bytes) -> str:
    """Returns the name of the queue of a job's row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        name = orjson.loads(value)["queue"][0]
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise _progress.MalformedRowError(
            f"malformed job row {identifier}: {error!r}"
        ) from error
    if not isinstance(name, str):
        raise _progress.MalformedRowError(
            f"malformed job row {identifier}: the queue's name is not text"
        )
    return name


def _check_steps(steps: tuple[model.Step, ...]) -> None:
    """Checks what a scheduler relies on.

    Raises:
        ValueError: A job has no steps, a step has no tasks, or it depends on
            itself or a later step.
    """
    if not steps:
        raise ValueError("a job without steps")
    for index, step in enumerate(steps):
        if step.count < 1 or any(
            not 0 <= before < index for before in step.after
        ):
            raise ValueError(f"step {index} is invalid")


def _encode_queue(queue: model.Queue) -> list[typing.Any]:
    """Returns the settings that the job needs even if its queue is removed."""
    return [
        queue.name,
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_latency // _MILLISECOND,
        _encode_advice(queue.advice),
    ]


def _encode_advice(timing: model.AdviceTiming | None) -> list[float] | None:
    if timing is None:
        return None
    return [
        timing.decision / _MILLISECOND,
        timing.per_runner / _MILLISECOND,
        timing.validity / _MILLISECOND,
    ]


def _decode_queue(fields: list[typing.Any]) -> model.Queue:
    name, service, priority, max_attempts, stretch, target, advice = fields
    return model.Queue(
        name=name,
        host="",
        path_prefix="",
        service=service,
        priority=priority,
        max_attempts=max_attempts,
        stretch=stretch,
        target_latency=target * _MILLISECOND,
        advice=(
            None
            if advice is None
            else model.AdviceTiming(*(part * _MILLISECOND for part in advice))
        ),
    )


def _encode_step(step: model.Step) -> dict[str, typing.Any]:
    document: dict[str, typing.Any] = {}
    for field in attrs.fields(model.Step):
        value = getattr(step, field.name)
        if value == field.default:
            continue
        name = _STORED_NAME_BY_ATTRIBUTE.get(field.name, field.name)
        if isinstance(value, datetime.timedelta):
            document[f"{name}_ms"] = value // _MILLISECOND
        elif isinstance(value, model.Resources):
            document[name] = [
                value.processors,
                value.memory_mb,
                value.accelerators,
            ]
        else:
            document[name] = value
    return document


def _decode_step(document: dict[str, typing.Any]) -> model.Step:
    values: dict[str, typing.Any] = {}
    for key, value in document.items():
        stored = key.removesuffix("_ms")
        name = _ATTRIBUTE_BY_STORED_NAME.get(stored, stored)
        if key.endswith("_ms"):
            values[name] = value * _MILLISECOND
        elif name == "resources":
            values[name] = model.Resources(*value)
        elif name == "after":
            values[name] = tuple(value)
        else:
            values[name] = value
    return model.Step(**values)


def _decode_schedule(document: dict[str, typing.Any]) -> model.Schedule:
    return model.Schedule(
        _EPOCH + document["first_ms"] * _MILLISECOND,
        document["interval_ms"] * _MILLISECOND,
        document["count"],
    )

"""Tells from logs what happened to a job, a task or a runner."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import pathlib
import sys
import typing

import orjson

from tamarackhatch import errors

_SUBJECT_FIELDS = ("job", "task", "runner")
_HEAD_FIELDS = ("time", "level", "part", "event")

Event = dict[str, typing.Any]


def explain(subject: str, paths: Sequence[str]) -> tuple[str, ...]:
    """Returns the lines about a subject, in order of time.

    Args:
        subject: A job, a task or a runner.
        paths: Log files; standard input if there are none.

    Raises:
        FindingsError: A file cannot be read.
    """
    events = [
        event
        for event in _read_events(paths)
        if any(
            _is_about(event.get(field), subject) for field in _SUBJECT_FIELDS
        )
    ]
    events.sort(key=lambda event: str(event.get("time", "")))
    return tuple(_format(event) for event in events)


def _is_about(value: object, subject: str) -> bool:
    if not isinstance(value, str):
        return False
    # A task belongs to its job: JOB.OCCURRENCE.STEP.INDEX.
    return value == subject or value.startswith(subject + ".")


def _read_events(paths: Sequence[str]) -> Iterator[Event]:
    if not paths:
        yield from _parse(sys.stdin.buffer)
    for path in paths:
        try:
            with pathlib.Path(path).open("rb") as lines:
                yield from _parse(lines)
        except OSError as error:
            reason = error.strerror or type(error).__name__
            raise errors.FindingsError(
                [
                    errors.Finding(
                        errors.SourceLocation(path, 1, 1),
                        errors.ErrorCode.UNREADABLE_FILE,
                        f"cannot read the file: {reason}",
                    )
                ]
            ) from error


def _parse(lines: Iterable[bytes]) -> Iterator[Event]:
    for line in lines:
        # Collectors put the host or a time before the object.
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            event = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            # Not a line of this program, or one that was cut.
            continue
        if isinstance(event, dict):
            yield event


def _format(event: Event) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _HEAD_FIELDS and value is not None
    )
    head = " ".join(
        str(event.get(name, "-")) for name in ("time", "part", "event")
    )
    return f"{head} {fields}".rstrip()

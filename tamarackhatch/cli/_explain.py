"""Finds the log events of a job, a task or a runner."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import pathlib
import sys
import typing

import orjson

from tamarackhatch import errors

_SUBJECT_FIELDS = ("job", "task", "runner")
_COMMON_FIELDS = ("time", "level", "part", "event")

Event = dict[str, typing.Any]


def explain(subject: str, paths: Sequence[str]) -> tuple[str, ...]:
    """Returns one line for each event of a subject, sorted by time.

    Args:
        subject: Identifier of a job, a task or a runner.
        paths: Log files; standard input if there are none.

    Raises:
        FindingsError: A file cannot be read.
    """
    events = [
        event
        for event in _read_events(paths)
        if any(
            _matches_subject(event.get(field), subject)
            for field in _SUBJECT_FIELDS
        )
    ]
    events.sort(key=lambda event: str(event.get("time", "")))
    return tuple(_format_event(event) for event in events)


def _matches_subject(value: object, subject: str) -> bool:
    if not isinstance(value, str):
        return False
    # Events of a task (JOB.OCCURRENCE.STEP.INDEX) also belong to its job.
    return value == subject or value.startswith(subject + ".")


def _read_events(paths: Sequence[str]) -> Iterator[Event]:
    if not paths:
        yield from _parse_events(sys.stdin.buffer)
    for path in paths:
        try:
            with pathlib.Path(path).open("rb") as lines:
                yield from _parse_events(lines)
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


def _parse_events(lines: Iterable[bytes]) -> Iterator[Event]:
    for line in lines:
        # Log collectors put a host name or a time before the JSON object.
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            event = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            # Not a line of this program, or a truncated one.
            continue
        if isinstance(event, dict):
            yield event


def _format_event(event: Event) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _COMMON_FIELDS and value is not None
    )
    head = " ".join(
        str(event.get(name, "-")) for name in ("time", "part", "event")
    )
    return f"{head} {fields}".rstrip()

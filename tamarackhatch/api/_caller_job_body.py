"""Reading of the JSON body of a job."""

from collections.abc import Mapping
import datetime
import difflib
import json
import re
import typing

import attrs

from tamarackhatch import errors
from tamarackhatch import model

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_MAX_TASKS = 10_000
_MAX_AMOUNT = 2**31
_MAX_COMMAND = 16 * 1024
_MAX_DURATION_S = 366 * 24 * 3600
_MISSING = object()


@attrs.frozen
class JobFinding:
    """One fault of a job body.

    Attributes:
        field: Path of the field, such as ``resources.processors``.
        code: Stable identifier of the kind of fault.
        message: The fault in words.
    """

    field: str
    code: errors.ErrorCode
    message: str


class JobBodyError(errors.CodedError):
    """A job body with one or more faults."""

    def __init__(self, findings: tuple[JobFinding, ...]) -> None:
        super().__init__(
            errors.ErrorCode.BAD_JOB,
            "; ".join(f"{item.field}: {item.message}" for item in findings),
        )
        self._findings = findings

    @property
    def findings(self) -> tuple[JobFinding, ...]:
        """All faults, in the order of the fields."""
        return self._findings


class _Reader:
    """Reads typed fields and collects the faults."""

    def __init__(self) -> None:
        self._findings: list[JobFinding] = []

    @property
    def findings(self) -> tuple[JobFinding, ...]:
        return tuple(self._findings)

    def add(self, field: str, code: errors.ErrorCode, message: str) -> None:
        self._findings.append(JobFinding(field, code, message))

    def check_keys(
        self, prefix: str, content: Mapping[str, object], known: list[str]
    ) -> None:
        for key in content:
            if key not in known:
                near = difflib.get_close_matches(key, known, n=1)
                hint = f"; did you mean {near[0]}?" if near else ""
                self.add(
                    prefix + key,
                    errors.ErrorCode.UNKNOWN_KEY,
                    f"unknown field{hint}",
                )

    def read_name(self, content: Mapping[str, object], field: str) -> str:
        value = self._read(content, field, field, str, "a text", _MISSING)
        if not isinstance(value, str):
            return ""
        if not _NAME_PATTERN.fullmatch(value):
            self.add(
                field,
                errors.ErrorCode.OUT_OF_RANGE,
                "must be 1 to 64 letters, digits or ._-",
            )
        return value

    def read_text(
        self, content: Mapping[str, object], field: str, longest: int
    ) -> str:
        value = self._read(content, field, field, str, "a text", _MISSING)
        if not isinstance(value, str):
            return ""
        if len(value) > longest:
            self.add(
                field,
                errors.ErrorCode.OUT_OF_RANGE,
                f"must have at most {longest} characters",
            )
        return value

    def read_number(
        self,
        content: Mapping[str, object],
        field: str,
        lowest: int,
        highest: int,
        prefix: str = "",
        default: object = _MISSING,
        whole: bool = True,
    ) -> float:
        place = prefix + field
        kinds = int if whole else (int, float)
        words = "a whole number" if whole else "a number"
        value = self._read(content, field, place, kinds, words, default)
        if not isinstance(value, (int, float)):
            return 0
        if not lowest <= value <= highest:
            self.add(
                place,
                errors.ErrorCode.OUT_OF_RANGE,
                f"must be from {lowest} to {highest}",
            )
            return 0
        return value

    def read_flag(
        self, content: Mapping[str, object], field: str, default: bool
    ) -> bool:
        value = content.get(field, default)
        if not isinstance(value, bool):
            self.add(
                field, errors.ErrorCode.WRONG_TYPE, "must be true or false"
            )
            return default
        return value

    def read_object(
        self, content: Mapping[str, object], field: str
    ) -> Mapping[str, object]:
        value = self._read(content, field, field, dict, "an object", _MISSING)
        return value if isinstance(value, dict) else {}

    def _read(
        self,
        content: Mapping[str, object],
        field: str,
        place: str,
        kinds: type | tuple[type, ...],
        words: str,
        default: object,
    ) -> object:
        value = content.get(field, default)
        if value is _MISSING:
            self.add(place, errors.ErrorCode.MISSING_KEY, "is missing")
            return None
        # In Python a bool is an int, but not in JSON.
        if isinstance(value, bool) or not isinstance(value, kinds):
            self.add(place, errors.ErrorCode.WRONG_TYPE, f"must be {words}")
            return None
        return value


def read_job_body(
    body: bytes, submitted_at: datetime.datetime
) -> model.JobSpec:
    """Returns the job that a body describes.

    The fields are those of ``model.JobSpec`` without ``submitted_at``;
    ``expected_duration`` is in seconds, ``urgent`` may be left out.

    Raises:
        JobBodyError: The body has faults; all of them are listed.
    """
    try:
        content = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise JobBodyError(
            (JobFinding("body", errors.ErrorCode.SYNTAX, str(error)),)
        ) from error
    if not isinstance(content, dict):
        raise JobBodyError(
            (
                JobFinding(
                    "body", errors.ErrorCode.WRONG_TYPE, "must be an object"
                ),
            )
        )
    reader = _Reader()
    spec = _read_spec(reader, content, submitted_at)
    if reader.findings:
        raise JobBodyError(reader.findings)
    return spec


def _read_spec(
    reader: _Reader,
    content: Mapping[str, object],
    submitted_at: datetime.datetime,
) -> model.JobSpec:
    known = [
        field.name
        for field in attrs.fields(model.JobSpec)
        if field.name != "submitted_at"
    ]
    reader.check_keys("", content, known)
    job = reader.read_name(content, "job")
    team = reader.read_name(content, "team")
    kind = reader.read_name(content, "kind")
    task_count = int(reader.read_number(content, "task_count", 1, _MAX_TASKS))
    resources = _read_resources(reader, content)
    command = reader.read_text(content, "command", _MAX_COMMAND)
    urgent = reader.read_flag(content, "urgent", False)
    duration = reader.read_number(
        content, "expected_duration", 0, _MAX_DURATION_S, whole=False
    )
    return model.JobSpec(
        job,
        team,
        kind,
        task_count,
        resources,
        command,
        urgent,
        submitted_at,
        datetime.timedelta(seconds=duration),
    )


def _read_resources(
    reader: _Reader, content: Mapping[str, object]
) -> model.Resources:
    found = len(reader.findings)
    values = reader.read_object(content, "resources")
    if len(reader.findings) > found:
        return model.Resources()
    prefix = "resources."
    reader.check_keys(
        prefix, values, [f.name for f in attrs.fields(model.Resources)]
    )
    # A task without processors or memory could be placed without bound.
    return model.Resources(
        int(reader.read_number(values, "processors", 1, _MAX_AMOUNT, prefix)),
        int(reader.read_number(values, "memory_mb", 1, _MAX_AMOUNT, prefix)),
        int(
            reader.read_number(
                values, "accelerators", 0, _MAX_AMOUNT, prefix, default=0
            )
        ),
    )


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a JSON number")

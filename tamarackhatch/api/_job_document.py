"""Jobs in the project's own format: JSON with the names of the model."""

import datetime
import typing

import attrs

from tamarackhatch import documents
from tamarackhatch import errors
from tamarackhatch import model

_MS = datetime.timedelta(milliseconds=1)
_MAX_TASKS = 20_000
_MAX_AMOUNT = 1_000_000_000
_MAX_SPECIFICATION = 4_000
_DAY_MS = 86_400_000
_NAME = documents.Text(maximum=200)


@attrs.frozen
class _Indices:
    """A list of indices of earlier steps."""

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> tuple[int, ...] | None:
        if not isinstance(node, documents.ArrayNode):
            collector.add_finding(
                node.location,
                errors.ErrorCode.WRONG_TYPE,
                f"{path} must be a list of step indices",
            )
            return None
        kind = documents.Integer(0, _MAX_TASKS)
        indices = [
            kind.read(item, f"{path}[{position}]", collector)
            for position, item in enumerate(node.items)
        ]
        return tuple(index for index in indices if index is not None)

    def write(self, value: tuple[int, ...]) -> list[int]:
        return list(value)


_RESOURCES_KEYS: typing.Final = (
    documents.Key("processors", documents.Integer(0, _MAX_AMOUNT)),
    documents.Key("memory_mb", documents.Integer(0, _MAX_AMOUNT)),
    documents.Key("accelerators", documents.Integer(0, _MAX_AMOUNT)),
)
_STEP_KEYS: typing.Final = (
    documents.Key("count", documents.Integer(1, _MAX_TASKS), is_required=True),
    documents.Key(
        "resources",
        documents.Nested(model.Resources, _RESOURCES_KEYS),
        is_required=True,
    ),
    documents.Key(
        "estimate_ms", documents.Duration(_MS, 0, _DAY_MS), "estimate"
    ),
    documents.Key("after", _Indices()),
    documents.Key("is_gang", documents.Flag()),
    documents.Key("is_checkpointing", documents.Flag()),
    documents.Key("is_rack_sensitive", documents.Flag()),
    documents.Key("is_speculative", documents.Flag()),
    documents.Key("is_lasting", documents.Flag(), "is_long_running"),
    documents.Key("is_filler", documents.Flag(), "is_best_effort"),
    documents.Key("required_label", _NAME),
    documents.Key("preferred_rack", _NAME),
    documents.Key("max_per_runner", documents.Integer(0, _MAX_TASKS)),
    documents.Key("image", _NAME),
    documents.Key(
        "tail_target_ms",
        documents.Duration(_MS, 0, _DAY_MS),
        "tail_latency_target",
    ),
    documents.Key(
        "may_miss", documents.Integer(0, _MAX_TASKS), "max_unavailable"
    ),
)


@attrs.frozen
class _Steps:
    """The steps of a job."""

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> tuple[model.Step, ...] | None:
        if not isinstance(node, documents.ArrayNode) or not node.items:
            collector.add_finding(
                node.location,
                errors.ErrorCode.WRONG_TYPE,
                f"{path} must be a list of at least one step",
            )
            return None
        kind = documents.Nested(model.Step, _STEP_KEYS)
        steps = []
        for index, item in enumerate(node.items):
            step = kind.read(item, f"{path}[{index}]", collector)
            if step is None:
                continue
            steps.append(step)
            if any(before >= index for before in step.after):
                collector.add_finding(
                    item.location,
                    errors.ErrorCode.UNKNOWN_REFERENCE,
                    f"{path}[{index}].after must name earlier steps",
                )
        return tuple(steps)

    def write(self, value: object) -> typing.NoReturn:
        raise TypeError("steps are only read")


_JOB_KEYS: typing.Final = (
    documents.Key("queue", _NAME, is_required=True),
    documents.Key("specification", documents.Text(maximum=_MAX_SPECIFICATION)),
    documents.Key("steps", _Steps(), is_required=True),
)


@attrs.frozen
class JobDocument:
    """A submitted job whose queue is not looked up yet."""

    queue: str
    steps: tuple[model.Step, ...]
    specification: str = ""


def read_job(body: bytes) -> JobDocument:
    """Returns the job of a request body.

    Raises:
        FindingsError: The body has faults; all of them are reported.
    """
    collector = documents.Collector()
    try:
        text = body.decode()
    except UnicodeDecodeError:
        collector.add_finding(
            errors.SourceLocation("body", 1, 1),
            errors.ErrorCode.SYNTAX,
            "the body is not UTF-8",
        )
        collector.raise_findings()
    node = documents.parse_text(text, "body", collector)
    values = None
    if node is not None:
        values = documents.read_object(node, "", _JOB_KEYS, collector)
    collector.raise_findings()
    assert values is not None
    return JobDocument(**values)

"""Reads jobs in the project's own JSON format.

Most keys are the names of the model's attributes.
"""

import datetime
import typing

import attrs

from tamarackhatch import documents
from tamarackhatch import errors
from tamarackhatch import model

_MILLISECOND = datetime.timedelta(milliseconds=1)
_MAX_TASKS = 20_000
_MAX_RESOURCE_AMOUNT = 1_000_000_000
_MAX_SPECIFICATION_CHARS = 4_000
_MAX_DURATION_MS = 86_400_000
_NAME_KIND = documents.Text(maximum=200)


@attrs.frozen
class _StepIndices:
    """Reads the list of indices of earlier steps."""

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
        index_kind = documents.Integer(0, _MAX_TASKS)
        indices = [
            index_kind.read(item, f"{path}[{position}]", collector)
            for position, item in enumerate(node.items)
        ]
        return tuple(index for index in indices if index is not None)

    def write(self, value: tuple[int, ...]) -> list[int]:
        return list(value)


_RESOURCES_KEYS: typing.Final = (
    documents.Key("processors", documents.Integer(0, _MAX_RESOURCE_AMOUNT)),
    documents.Key("memory_mb", documents.Integer(0, _MAX_RESOURCE_AMOUNT)),
    documents.Key("accelerators", documents.Integer(0, _MAX_RESOURCE_AMOUNT)),
)
_STEP_KEYS: typing.Final = (
    documents.Key("count", documents.Integer(1, _MAX_TASKS), is_required=True),
    documents.Key(
        "resources",
        documents.Nested(model.Resources, _RESOURCES_KEYS),
        is_required=True,
    ),
    documents.Key(
        "estimate_ms",
        documents.Duration(_MILLISECOND, 0, _MAX_DURATION_MS),
        "estimate",
    ),
    documents.Key("after", _StepIndices()),
    documents.Key("is_gang", documents.Flag()),
    documents.Key("is_checkpointing", documents.Flag()),
    documents.Key("is_rack_sensitive", documents.Flag()),
    documents.Key("is_speculative", documents.Flag()),
    documents.Key("is_lasting", documents.Flag(), "is_long_running"),
    documents.Key("is_filler", documents.Flag(), "is_best_effort"),
    documents.Key("required_label", _NAME_KIND),
    documents.Key("preferred_rack", _NAME_KIND),
    documents.Key("max_per_runner", documents.Integer(0, _MAX_TASKS)),
    documents.Key("image", _NAME_KIND),
    documents.Key(
        "tail_target_ms",
        documents.Duration(_MILLISECOND, 0, _MAX_DURATION_MS),
        "tail_latency_target",
    ),
    documents.Key(
        "may_miss", documents.Integer(0, _MAX_TASKS), "max_unavailable"
    ),
)


@attrs.frozen
class _Steps:
    """Reads the list of the steps of a job."""

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
        step_kind = documents.Nested(model.Step, _STEP_KEYS)
        steps = []
        for index, item in enumerate(node.items):
            step = step_kind.read(item, f"{path}[{index}]", collector)
            if step is None:
                continue
            steps.append(step)
            if any(earlier >= index for earlier in step.after):
                collector.add_finding(
                    item.location,
                    errors.ErrorCode.UNKNOWN_REFERENCE,
                    f"{path}[{index}].after must name earlier steps",
                )
        return tuple(steps)

    def write(self, value: object) -> typing.NoReturn:
        raise TypeError("writing the steps of a job is not supported")


_JOB_KEYS: typing.Final = (
    documents.Key("queue", _NAME_KIND, is_required=True),
    documents.Key(
        "specification", documents.Text(maximum=_MAX_SPECIFICATION_CHARS)
    ),
    documents.Key("steps", _Steps(), is_required=True),
)


@attrs.frozen
class JobDocument:
    """A submitted job that names its queue.

    Attributes:
        queue: Name of the queue.
        steps: The steps, by index.
        specification: Text that is handed to each task.
    """

    queue: str
    steps: tuple[model.Step, ...]
    specification: str = ""


def read_job(body: bytes, file: str = "body") -> JobDocument:
    """Returns the job that a request body describes.

    Args:
        body: The body.
        file: Name of the body in findings.

    Raises:
        FindingsError: The body has faults; all of them are reported.
    """
    collector = documents.Collector()
    try:
        text = body.decode()
    except UnicodeDecodeError:
        collector.add_finding(
            errors.SourceLocation(file, 1, 1),
            errors.ErrorCode.SYNTAX,
            "the text is not UTF-8",
        )
        collector.raise_findings()
    node = documents.parse_text(text, file, collector)
    values = None
    if node is not None:
        values = documents.read_object(node, "", _JOB_KEYS, collector)
    collector.raise_findings()
    assert values is not None
    return JobDocument(**values)

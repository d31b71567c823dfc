"""Kinds of scalar values, validated on reading, converted on writing."""

import datetime
import math
import re
import typing

import attrs

from tamarackhatch.documents import _findings
from tamarackhatch.documents import _nodes
from tamarackhatch import errors


class Kind(typing.Protocol):
    """Reads and writes the value of one key."""

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> typing.Any:
        """Returns the value, or None after recording a finding."""
        ...

    def write(self, value: typing.Any) -> typing.Any:
        """Returns the JSON form of a value."""
        ...


def _read_whole_number(
    node: _nodes.Node,
    path: str,
    collector: _findings.Collector,
    minimum: int,
    maximum: int,
) -> int | None:
    value = node.value if isinstance(node, _nodes.ScalarNode) else None
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if isinstance(value, float) and math.isfinite(value):
        # 1e3 and 1000.0 are whole numbers too.
        is_whole = value.is_integer()
    if not is_whole or not isinstance(value, (int, float)):
        is_number = isinstance(value, float)
        found = "a fraction" if is_number else _nodes.describe_node(node)
        collector.add_finding(
            node.location,
            errors.ErrorCode.WRONG_TYPE,
            f"{path} must be a whole number, not {found}",
        )
        return None
    if not minimum <= value <= maximum:
        collector.add_finding(
            node.location,
            errors.ErrorCode.OUT_OF_RANGE,
            f"{path} must be from {minimum} to {maximum}",
        )
        return None
    return int(value)


@attrs.frozen
class Integer:
    """A whole number within bounds, both included."""

    minimum: int
    maximum: int

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> int | None:
        return _read_whole_number(
            node, path, collector, self.minimum, self.maximum
        )

    def write(self, value: int) -> int:
        return value


@attrs.frozen
class Size:
    """A size in bytes, written as a multiple of ``unit`` bytes."""

    unit: int
    minimum: int
    maximum: int

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> int | None:
        count = _read_whole_number(
            node, path, collector, self.minimum, self.maximum
        )
        return None if count is None else count * self.unit

    def write(self, value: int) -> int:
        return value // self.unit


@attrs.frozen
class Decimal:
    """A number within bounds, both included; fractions are allowed."""

    minimum: int
    maximum: int

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> float | None:
        value = node.value if isinstance(node, _nodes.ScalarNode) else None
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            collector.add_finding(
                node.location,
                errors.ErrorCode.WRONG_TYPE,
                f"{path} must be a number, not {_nodes.describe_node(node)}",
            )
            return None
        if not self.minimum <= value <= self.maximum:
            collector.add_finding(
                node.location,
                errors.ErrorCode.OUT_OF_RANGE,
                f"{path} must be from {self.minimum} to {self.maximum}",
            )
            return None
        return float(value)

    def write(self, value: float) -> float:
        return value


@attrs.frozen
class Duration:
    """A duration, written as a multiple of ``unit``."""

    unit: datetime.timedelta
    minimum: int
    maximum: int
    allows_fraction: bool = False

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> datetime.timedelta | None:
        count: float | None
        if self.allows_fraction:
            kind = Decimal(self.minimum, self.maximum)
            count = kind.read(node, path, collector)
        else:
            count = _read_whole_number(
                node, path, collector, self.minimum, self.maximum
            )
        return None if count is None else count * self.unit

    def write(self, value: datetime.timedelta) -> float:
        return (
            value / self.unit if self.allows_fraction else value // self.unit
        )


@attrs.frozen
class Percent:
    """A ratio from 0 to 1, written as a whole number of per cent."""

    maximum: int = 100

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> float | None:
        count = _read_whole_number(node, path, collector, 0, self.maximum)
        return None if count is None else count / 100

    def write(self, value: float) -> int:
        return round(value * 100)


@attrs.frozen
class Flag:
    """A boolean."""

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> bool | None:
        value = node.value if isinstance(node, _nodes.ScalarNode) else None
        if isinstance(value, bool):
            return value
        collector.add_finding(
            node.location,
            errors.ErrorCode.WRONG_TYPE,
            f"{path} must be true or false, "
            f"not {_nodes.describe_node(node)}",
        )
        return None

    def write(self, value: bool) -> bool:
        return value


@attrs.frozen
class Text:
    """Text that matches a pattern as a whole.

    Attributes:
        pattern: Regular expression.
        rule: Description of the pattern for findings.
        maximum: Maximum length in characters.
    """

    pattern: str = r"(?s).*"
    rule: str = "text"
    maximum: int = 1024

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> str | None:
        value = node.value if isinstance(node, _nodes.ScalarNode) else None
        if not isinstance(value, str):
            collector.add_finding(
                node.location,
                errors.ErrorCode.WRONG_TYPE,
                f"{path} must be text, not {_nodes.describe_node(node)}",
            )
            return None
        if len(value) > self.maximum:
            rule = f"at most {self.maximum} characters long"
        elif not re.fullmatch(self.pattern, value):
            rule = self.rule
        else:
            return value
        collector.add_finding(
            node.location,
            errors.ErrorCode.OUT_OF_RANGE,
            f"{path} must be {rule}",
        )
        return None

    def write(self, value: str) -> str:
        return value

"""Findings about input, each with its source location."""

import attrs

from tamarackhatch.errors import _codes


@attrs.frozen(order=True)
class SourceLocation:
    """Position in an input file.

    Attributes:
        file: Path as the user gave it.
        line: Line number, from 1.
        column: Column number, from 1.
    """

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@attrs.frozen
class Finding:
    """One error found in an input."""

    location: SourceLocation
    code: _codes.ErrorCode
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.code.value} {self.message}"

"""Base classes of the project's exceptions."""

from collections.abc import Sequence

from tamarackhatch.errors import _codes
from tamarackhatch.errors import _findings


class CodedError(Exception):
    """Base class of exceptions with an error code."""

    def __init__(self, code: _codes.ErrorCode, message: str) -> None:
        super().__init__(f"{code.value} {message}")
        self._code = code
        self._message = message

    @property
    def code(self) -> _codes.ErrorCode:
        """Stable code for scripts and logs."""
        return self._code

    @property
    def message(self) -> str:
        """Message without the code."""
        return self._message


class FindingsError(CodedError):
    """Input has one or more errors; all of them are reported together.

    Its code is that of the first finding, its message lists all findings.

    Raises:
        ValueError: There are no findings.
    """

    def __init__(self, findings: Sequence[_findings.Finding]) -> None:
        if not findings:
            raise ValueError("findings must not be empty")
        super().__init__(
            findings[0].code, "\n".join(str(finding) for finding in findings)
        )
        self._findings = tuple(findings)

    @property
    def findings(self) -> tuple[_findings.Finding, ...]:
        """All findings, in the order given."""
        return self._findings

"""Base classes of the project's exceptions."""

from collections.abc import Sequence

from tamarackhatch.errors import _codes
from tamarackhatch.errors import _findings


class CodedError(Exception):
    """Base of all errors that the project raises on purpose."""

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
        """Text without the code."""
        return self._message


class FindingsError(CodedError):
    """Input with one or more faults, all of them reported together."""

    def __init__(self, findings: Sequence[_findings.Finding]) -> None:
        if not findings:
            raise ValueError("findings must not be empty")
        super().__init__(
            findings[0].code, "\n".join(str(finding) for finding in findings)
        )
        self._findings = tuple(findings)

    @property
    def findings(self) -> tuple[_findings.Finding, ...]:
        """All faults, in the order of their locations."""
        return self._findings

"""Collects findings while a document is read."""

from tamarackhatch import errors


class Collector:
    """Collects findings of all readers, to report them together.

    Args:
        ignored: Codes of findings that are not recorded.
    """

    def __init__(
        self, ignored: frozenset[errors.ErrorCode] = frozenset()
    ) -> None:
        self._ignored = ignored
        self._findings: list[errors.Finding] = []

    @property
    def count(self) -> int:
        """Number of findings so far."""
        return len(self._findings)

    @property
    def findings(self) -> tuple[errors.Finding, ...]:
        """All findings so far, in the order of their locations."""
        return tuple(sorted(self._findings, key=lambda item: item.location))

    def add_finding(
        self,
        location: errors.SourceLocation,
        code: errors.ErrorCode,
        message: str,
    ) -> None:
        """Records a finding, unless its code is ignored."""
        if code not in self._ignored:
            self._findings.append(errors.Finding(location, code, message))

    def raise_findings(self) -> None:
        """Raises one exception with all findings, if there are any.

        Raises:
            FindingsError: At least one finding was recorded.
        """
        if self._findings:
            raise errors.FindingsError(self.findings)

"""Validates settings and declarations without starting an instance."""

from collections.abc import Sequence
import pathlib

from tamarackhatch import declarations
from tamarackhatch import documents
from tamarackhatch import errors
from tamarackhatch import settings


def check_files(paths: Sequence[str]) -> tuple[errors.Finding, ...]:
    """Returns the findings of all files, in the order given.

    Args:
        paths: Settings files, and directories of declarations.
    """
    findings: list[errors.Finding] = []
    for path in paths:
        if pathlib.Path(path).is_dir():
            findings += _check_declarations(path)
        else:
            findings += _check_settings(path)
    return tuple(findings)


def _check_settings(path: str) -> tuple[errors.Finding, ...]:
    collector = documents.Collector()
    node = documents.read_file(path, collector)
    if node is not None:
        settings.read_settings(node, collector)
    return collector.findings


def _check_declarations(path: str) -> tuple[errors.Finding, ...]:
    try:
        declarations.load_directory(path)
    except errors.FindingsError as error:
        return error.findings
    return ()

"""Exceptions with error codes, and findings with source locations."""

from tamarackhatch.errors._codes import ErrorCode
from tamarackhatch.errors._errors import CodedError
from tamarackhatch.errors._errors import FindingsError
from tamarackhatch.errors._findings import Finding
from tamarackhatch.errors._findings import SourceLocation

__all__ = [
    "CodedError",
    "ErrorCode",
    "Finding",
    "FindingsError",
    "SourceLocation",
]

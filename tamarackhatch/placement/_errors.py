"""Errors of job submission and cancellation."""

from tamarackhatch import errors


class JobRefusedError(errors.CodedError):
    """A job was refused; nothing was written."""

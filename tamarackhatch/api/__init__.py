"""The project's own interface for callers."""

from tamarackhatch.api._interface import make_application
from tamarackhatch.api._job_document import JobDocument
from tamarackhatch.api._job_document import read_job

__all__ = ["JobDocument", "make_application", "read_job"]

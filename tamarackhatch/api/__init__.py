"""HTTP interfaces for callers and operators."""

from tamarackhatch.api._caller_application import build_caller_application
from tamarackhatch.api._caller_application import build_caller_server
from tamarackhatch.api._caller_context import JobService
from tamarackhatch.api._caller_context import ServiceRouter
from tamarackhatch.api._caller_limits import CallerLimits

__all__ = [
    "CallerLimits",
    "JobService",
    "ServiceRouter",
    "build_caller_application",
    "build_caller_server",
]

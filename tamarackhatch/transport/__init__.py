"""HTTP client for calls to other systems."""

from tamarackhatch.transport._client import Answer
from tamarackhatch.transport._client import Call
from tamarackhatch.transport._client import CallLostError
from tamarackhatch.transport._client import CallNotSentError
from tamarackhatch.transport._client import HttpClient

__all__ = [
    "Answer",
    "Call",
    "CallLostError",
    "CallNotSentError",
    "HttpClient",
]

"""HTTP client for calls to other systems."""

from tamarackhatch.transport._calls import Answer
from tamarackhatch.transport._calls import Call
from tamarackhatch.transport._calls import CallLostError
from tamarackhatch.transport._calls import CallNotSentError
from tamarackhatch.transport._client import HttpClient
from tamarackhatch.transport._traffic import PurposeTraffic
from tamarackhatch.transport._traffic import Traffic

__all__ = [
    "Answer",
    "Call",
    "CallLostError",
    "CallNotSentError",
    "HttpClient",
    "PurposeTraffic",
    "Traffic",
]

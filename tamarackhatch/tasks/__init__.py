"""The owner's work on workers: start, renew, throttle, evict, recover."""

from tamarackhatch.tasks._latency import LatencySource
from tamarackhatch.tasks._manager import WorkerManager

__all__ = ["LatencySource", "WorkerManager"]

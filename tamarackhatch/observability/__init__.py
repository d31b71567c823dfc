"""Structured logs and metrics."""

from tamarackhatch.observability._log import LevelFilter
from tamarackhatch.observability._log import LineSink
from tamarackhatch.observability._log import Log
from tamarackhatch.observability._metrics import Metrics
from tamarackhatch.observability._store_traffic import StoreTraffic

__all__ = ["LevelFilter", "LineSink", "Log", "Metrics", "StoreTraffic"]

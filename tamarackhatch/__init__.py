"""Scheduler for latency-critical services and batch work."""

__version__ = "0.1.0"

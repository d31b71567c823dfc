"""Time as an interface, so that tests control it."""

from tamarackhatch.clock._clock import Clock
from tamarackhatch.clock._manual import ManualClock
from tamarackhatch.clock._system import SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]

"""Clocks behind one interface, so that tests can control the time."""

from tamarackhatch.clock._clock import Clock
from tamarackhatch.clock._manual import ManualClock
from tamarackhatch.clock._system import SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]

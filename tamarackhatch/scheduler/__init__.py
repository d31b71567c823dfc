"""Scheduling of tasks on the runners of a cell."""

from tamarackhatch.scheduler._parts import SchedulerParts
from tamarackhatch.scheduler._scheduler import Scheduler

__all__ = ["Scheduler", "SchedulerParts"]

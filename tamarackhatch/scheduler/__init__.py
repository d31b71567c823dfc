"""Scheduling of tasks on the runners of a cell."""

from tamarackhatch.scheduler._dependencies import SchedulerDependencies
from tamarackhatch.scheduler._scheduler import Scheduler

__all__ = ["Scheduler", "SchedulerDependencies"]

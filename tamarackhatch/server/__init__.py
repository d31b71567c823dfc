"""Life cycle of an instance: start, readiness, reload and stop."""

from tamarackhatch.server._instance import Instance
from tamarackhatch.server._role import SchedulerRole
from tamarackhatch.server._run import serve

__all__ = ["Instance", "SchedulerRole", "serve"]

"""The job service below all interfaces."""

from tamarackhatch.service._configuration import ConfigurationWatcher
from tamarackhatch.service._jobs import JobService
from tamarackhatch.service._jobs import PendingSource

__all__ = ["ConfigurationWatcher", "JobService", "PendingSource"]

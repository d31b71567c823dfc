"""The job service, which all interfaces use."""

from tamarackhatch.service._configuration import ConfigurationWatcher
from tamarackhatch.service._jobs import JobService
from tamarackhatch.service._pending import PendingCounter
from tamarackhatch.service._pending import PendingCountSource

__all__ = [
    "ConfigurationWatcher",
    "JobService",
    "PendingCountSource",
    "PendingCounter",
]

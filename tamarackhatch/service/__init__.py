"""The job service, which all interfaces use."""

from tamarackhatch.service._configuration import ConfigurationWatcher
from tamarackhatch.service._jobs import JobService
from tamarackhatch.service._jobs import PendingJobsSource

__all__ = ["ConfigurationWatcher", "JobService", "PendingJobsSource"]

"""Fleet-wide defaults and exceptions, as declared by operators."""

from tamarackhatch.declarations._policies import BatchPolicy
from tamarackhatch.declarations._policies import ConfigurationView
from tamarackhatch.declarations._policies import ServicePolicy
from tamarackhatch.declarations._policies import TeamPolicy
from tamarackhatch.declarations._policies import WorkerPolicy

__all__ = [
    "BatchPolicy",
    "ConfigurationView",
    "ServicePolicy",
    "TeamPolicy",
    "WorkerPolicy",
]

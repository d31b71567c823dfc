"""Fleet-wide defaults and exceptions, as declared by operators."""

from tamarackhatch.declarations._codec import decode_declarations
from tamarackhatch.declarations._codec import encode_declarations
from tamarackhatch.declarations._declarations import Declarations
from tamarackhatch.declarations._declarations import Defaults
from tamarackhatch.declarations._declarations import Override
from tamarackhatch.declarations._declarations import PolicyException
from tamarackhatch.declarations._declarations import PolicySet
from tamarackhatch.declarations._keys import RESOURCES_KIND
from tamarackhatch.declarations._keys import Section
from tamarackhatch.declarations._plan import Change
from tamarackhatch.declarations._plan import ChangeKind
from tamarackhatch.declarations._plan import compute_plan
from tamarackhatch.declarations._plan import Plan
from tamarackhatch.declarations._policies import BatchPolicy
from tamarackhatch.declarations._policies import ConfigurationView
from tamarackhatch.declarations._policies import ServicePolicy
from tamarackhatch.declarations._policies import TeamPolicy
from tamarackhatch.declarations._policies import WorkerPolicy
from tamarackhatch.declarations._reader import list_files
from tamarackhatch.declarations._reader import load_directory
from tamarackhatch.declarations._reader import read_nodes

__all__ = [
    "BatchPolicy",
    "Change",
    "ChangeKind",
    "ConfigurationView",
    "Declarations",
    "Defaults",
    "Override",
    "Plan",
    "PolicyException",
    "PolicySet",
    "RESOURCES_KIND",
    "Section",
    "ServicePolicy",
    "TeamPolicy",
    "WorkerPolicy",
    "compute_plan",
    "decode_declarations",
    "encode_declarations",
    "list_files",
    "load_directory",
    "read_nodes",
]

"""Adapter of the users' platform: its names, formats and calls."""

from tamarackhatch.platform._advice import Advice
from tamarackhatch.platform._advice import AdviceClient
from tamarackhatch.platform._advice import AdviceUnavailableError
from tamarackhatch.platform._configuration import CONFIGURATION_KEY
from tamarackhatch.platform._configuration import decode_configuration
from tamarackhatch.platform._configuration import OPERATOR_TABLE
from tamarackhatch.platform._decoding import MalformedBodyError
from tamarackhatch.platform._evacuations import EVACUATION_KEYS_END
from tamarackhatch.platform._evacuations import FIRST_EVACUATION_KEY
from tamarackhatch.platform._evacuations import get_evacuated_data_centre
from tamarackhatch.platform._ingress import Ingress
from tamarackhatch.platform._job_body import decode_job
from tamarackhatch.platform._job_body import MalformedJobError
from tamarackhatch.platform._registry import decode_runner
from tamarackhatch.platform._registry import RUNNERS_TABLE
from tamarackhatch.platform._runner_client import Authority
from tamarackhatch.platform._runner_client import CommandOutcome
from tamarackhatch.platform._runner_client import RunCommand
from tamarackhatch.platform._runner_client import RunnerClient
from tamarackhatch.platform._runner_errors import CallDelayedError
from tamarackhatch.platform._runner_errors import FencedError
from tamarackhatch.platform._runner_errors import RunnerOutcomeUnknownError
from tamarackhatch.platform._runner_errors import RunnerReplacedError
from tamarackhatch.platform._runner_errors import RunnerStalledError
from tamarackhatch.platform._runner_errors import RunnerUnavailableError
from tamarackhatch.platform._store import PlatformStore

__all__ = [
    "Advice",
    "AdviceClient",
    "AdviceUnavailableError",
    "Authority",
    "CONFIGURATION_KEY",
    "CallDelayedError",
    "CommandOutcome",
    "EVACUATION_KEYS_END",
    "FIRST_EVACUATION_KEY",
    "FencedError",
    "Ingress",
    "MalformedBodyError",
    "MalformedJobError",
    "OPERATOR_TABLE",
    "PlatformStore",
    "RUNNERS_TABLE",
    "RunCommand",
    "RunnerClient",
    "RunnerOutcomeUnknownError",
    "RunnerReplacedError",
    "RunnerStalledError",
    "RunnerUnavailableError",
    "decode_configuration",
    "decode_job",
    "decode_runner",
    "get_evacuated_data_centre",
]

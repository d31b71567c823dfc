"""Finds runners that fail or hang, and limits what starts there; pure code."""

from tamarackhatch.health._monitor import HealthMonitor
from tamarackhatch.health._records import EjectionReason
from tamarackhatch.health._records import HealthEvent
from tamarackhatch.health._records import RunOutcome
from tamarackhatch.health._records import UNLIMITED
from tamarackhatch.health._stalls import RunObservation
from tamarackhatch.health._stalls import Stall
from tamarackhatch.health._stalls import StallDetector

__all__ = [
    "EjectionReason",
    "HealthEvent",
    "HealthMonitor",
    "RunObservation",
    "RunOutcome",
    "Stall",
    "StallDetector",
    "UNLIMITED",
]

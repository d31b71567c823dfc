"""Settings of one instance."""

from tamarackhatch.settings._kinds import Address
from tamarackhatch.settings._settings import Bounds
from tamarackhatch.settings._settings import Limits
from tamarackhatch.settings._settings import load_settings
from tamarackhatch.settings._settings import Logging
from tamarackhatch.settings._settings import read_settings
from tamarackhatch.settings._settings import Scheduling
from tamarackhatch.settings._settings import Settings
from tamarackhatch.settings._settings import SETTINGS_KEYS

__all__ = [
    "Address",
    "Bounds",
    "Limits",
    "Logging",
    "SETTINGS_KEYS",
    "Scheduling",
    "Settings",
    "load_settings",
    "read_settings",
]

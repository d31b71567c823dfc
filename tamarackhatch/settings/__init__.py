"""Settings of one entry instance."""

from tamarackhatch.settings._kinds import Address
from tamarackhatch.settings._secret import Secret
from tamarackhatch.settings._settings import load_settings
from tamarackhatch.settings._settings import read_settings
from tamarackhatch.settings._settings import Settings
from tamarackhatch.settings._settings import SETTINGS_KEYS

__all__ = [
    "Address",
    "SETTINGS_KEYS",
    "Secret",
    "Settings",
    "load_settings",
    "read_settings",
]

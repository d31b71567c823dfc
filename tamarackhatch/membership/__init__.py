"""Sessions, rosters, authority and ownership of workers."""

from tamarackhatch.membership._views import OwnershipView
from tamarackhatch.membership._views import RosterView

__all__ = ["OwnershipView", "RosterView"]

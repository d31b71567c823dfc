"""Sessions, rosters, authority and ownership of workers."""

from tamarackhatch.membership._authority import Authority
from tamarackhatch.membership._fencing import FencingRule
from tamarackhatch.membership._fencing import SessionRow
from tamarackhatch.membership._membership import Membership
from tamarackhatch.membership._ownership import OwnershipKeeper
from tamarackhatch.membership._rendezvous import assign_workers
from tamarackhatch.membership._rendezvous import rank_members
from tamarackhatch.membership._roster import Roster
from tamarackhatch.membership._session import Identity
from tamarackhatch.membership._session import SessionKeeper
from tamarackhatch.membership._timing import Timing
from tamarackhatch.membership._views import OwnershipView
from tamarackhatch.membership._views import RosterView

__all__ = [
    "Authority",
    "FencingRule",
    "Identity",
    "Membership",
    "OwnershipKeeper",
    "OwnershipView",
    "Roster",
    "RosterView",
    "SessionKeeper",
    "SessionRow",
    "Timing",
    "assign_workers",
    "rank_members",
]

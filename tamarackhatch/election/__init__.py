"""Election of the active scheduler, and its leader lease."""

from tamarackhatch.election._election import Candidate
from tamarackhatch.election._election import Election
from tamarackhatch.election._leader_lease import LeaderLease
from tamarackhatch.election._leader_lease import Term

__all__ = ["Candidate", "Election", "LeaderLease", "Term"]

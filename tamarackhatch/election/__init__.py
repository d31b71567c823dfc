"""Election of the active scheduler, and its authority."""

from tamarackhatch.election._authority import Authority
from tamarackhatch.election._authority import Term
from tamarackhatch.election._election import Candidate
from tamarackhatch.election._election import Election

__all__ = ["Authority", "Candidate", "Election", "Term"]

"""Placement of tasks on runners, and throttling of best-effort tasks."""

from tamarackhatch.placement._candidate import CandidateRunner
from tamarackhatch.placement._candidate_cache import CandidateCache
from tamarackhatch.placement._choice import can_start
from tamarackhatch.placement._choice import Choice
from tamarackhatch.placement._choice import choose_runners
from tamarackhatch.placement._choice import is_allowed
from tamarackhatch.placement._choice import rate_if_possible
from tamarackhatch.placement._choice import release_choices
from tamarackhatch.placement._choice import RunnerRating
from tamarackhatch.placement._consolidation import ConsolidationPlanner
from tamarackhatch.placement._consolidation import MovableTask
from tamarackhatch.placement._consolidation import MoveSource
from tamarackhatch.placement._consolidation import PlannedMove
from tamarackhatch.placement._filling import fill_runners
from tamarackhatch.placement._filling import FillingStep
from tamarackhatch.placement._infeasible_demands import InfeasibleDemands
from tamarackhatch.placement._interference import InterferenceFactor
from tamarackhatch.placement._interference import InterferenceModel
from tamarackhatch.placement._interference import InterferenceTable
from tamarackhatch.placement._interference import JobSample
from tamarackhatch.placement._load import RunnerLoad
from tamarackhatch.placement._locality import AwaitNear
from tamarackhatch.placement._locality import count_places
from tamarackhatch.placement._locality import decide_place
from tamarackhatch.placement._locality import is_sound
from tamarackhatch.placement._locality import MAX_NEAR_WAIT
from tamarackhatch.placement._locality import NearOption
from tamarackhatch.placement._locality import PlaceDecision
from tamarackhatch.placement._locality import RemoteReason
from tamarackhatch.placement._locality import StartNear
from tamarackhatch.placement._locality import StartRemote
from tamarackhatch.placement._order import assess_prospect
from tamarackhatch.placement._order import describe_precedence
from tamarackhatch.placement._order import ESTIMATE_ERROR
from tamarackhatch.placement._order import make_order_key
from tamarackhatch.placement._order import MAX_LATENESS
from tamarackhatch.placement._order import OrderKey
from tamarackhatch.placement._order import Prospect
from tamarackhatch.placement._order import Rank
from tamarackhatch.placement._order import Urgency
from tamarackhatch.placement._order import WaitingGroup
from tamarackhatch.placement._policy import PlacementPolicy
from tamarackhatch.placement._reservations import compute_release_time
from tamarackhatch.placement._reservations import Reservation
from tamarackhatch.placement._reservations import Reservations
from tamarackhatch.placement._reservations import TransientRun
from tamarackhatch.placement._scarcity import adapt_policy
from tamarackhatch.placement._scarcity import compute_free_share
from tamarackhatch.placement._shortage import describe_free_room
from tamarackhatch.placement._shortage import find_shortage
from tamarackhatch.placement._shortage import FreeRoom
from tamarackhatch.placement._shortage import Shortage
from tamarackhatch.placement._soon_free import SoonFreeRunners
from tamarackhatch.placement._throttling import BestEffortState
from tamarackhatch.placement._throttling import choose_speed_limits
from tamarackhatch.placement._throttling import infer_speed_limit
from tamarackhatch.placement._throttling import ServingState

__all__ = [
    "AwaitNear",
    "BestEffortState",
    "CandidateCache",
    "CandidateRunner",
    "Choice",
    "ConsolidationPlanner",
    "ESTIMATE_ERROR",
    "FillingStep",
    "FreeRoom",
    "InfeasibleDemands",
    "InterferenceFactor",
    "InterferenceModel",
    "InterferenceTable",
    "JobSample",
    "MAX_LATENESS",
    "MAX_NEAR_WAIT",
    "MovableTask",
    "MoveSource",
    "NearOption",
    "OrderKey",
    "PlaceDecision",
    "PlacementPolicy",
    "PlannedMove",
    "Prospect",
    "Rank",
    "RemoteReason",
    "Reservation",
    "Reservations",
    "RunnerLoad",
    "RunnerRating",
    "ServingState",
    "Shortage",
    "SoonFreeRunners",
    "StartNear",
    "StartRemote",
    "TransientRun",
    "Urgency",
    "WaitingGroup",
    "adapt_policy",
    "assess_prospect",
    "can_start",
    "choose_runners",
    "choose_speed_limits",
    "compute_free_share",
    "compute_release_time",
    "count_places",
    "decide_place",
    "describe_free_room",
    "describe_precedence",
    "fill_runners",
    "find_shortage",
    "infer_speed_limit",
    "is_allowed",
    "is_sound",
    "make_order_key",
    "rate_if_possible",
    "release_choices",
]

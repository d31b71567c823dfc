"""Adapts the placement of batch tasks to how much capacity is left.

Answers the load in which serving tasks reserve nearly all processors: what is
left lies in pieces on many runners, and each small batch task that is placed
on the emptiest runner breaks up a piece that a large one needs.
"""

from collections.abc import Iterable

import attrs

from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy


def compute_free_share(
    loads: Iterable[_load.RunnerLoad], awaited_cpu: int = 0
) -> float:
    """Returns the share of the processors that no task reserves.

    Args:
        loads: Loads of the runners that may get tasks of one service.
        awaited_cpu: CPU that waiting tasks will reserve, in thousandths of a
            core.

    Returns:
        The share; 1 without processors, negative if more is awaited than is
        free.
    """
    capacity = 0
    reserved = awaited_cpu
    for load in loads:
        processors = load.capacity.processors
        in_use = load.reserved_cpu + load.unassigned.processors
        capacity += processors
        reserved += in_use if in_use < processors else processors
    return 1 - reserved / capacity if capacity else 1.0


def adapt_policy(
    policy: _policy.PlacementPolicy, free_share: float
) -> _policy.PlacementPolicy:
    """Returns the policy for the share of the processors that is free.

    Batch tasks are spread while there is room, and fill the fullest runners
    when it is scarce.
    """
    width = policy.ample_free_share - policy.scarce_free_share
    scarcity = (policy.ample_free_share - free_share) / width
    scarcity = min(1.0, max(0.0, scarcity))
    if not scarcity:
        return policy
    packing = (
        policy.batch_packing * (1 - scarcity)
        + policy.scarce_batch_packing * scarcity
    )
    return attrs.evolve(policy, batch_packing=packing)

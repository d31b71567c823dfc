"""Spread of workers over members by rendezvous hashing."""

from collections.abc import Sequence
import math

import xxhash


def rank_members(worker: str, members: Sequence[str]) -> tuple[str, ...]:
    """Returns the members in the order of their preference for a worker."""
    return tuple(
        sorted(
            members,
            key=lambda member: (_hash_pair(worker, member), member),
            reverse=True,
        )
    )


def assign_workers(
    workers: Sequence[str], members: Sequence[str]
) -> dict[str, str]:
    """Returns the member of each worker, with even counts.

    Each pair goes in the order of its hash, and no member gets more than the
    mean rounded up. The result depends only on the two sets, so members that
    know the same sets agree without a message, and a joining member changes
    little more than its own share.
    """
    if not members:
        return {}
    room = dict.fromkeys(members, math.ceil(len(workers) / len(members)))
    pairs = sorted(
        (
            (_hash_pair(worker, member), worker, member)
            for worker in workers
            for member in members
        ),
        reverse=True,
    )
    assigned: dict[str, str] = {}
    for _, worker, member in pairs:
        if worker not in assigned and room[member]:
            assigned[worker] = member
            room[member] -= 1
    return assigned


def _hash_pair(worker: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{worker}\0{member}".encode())

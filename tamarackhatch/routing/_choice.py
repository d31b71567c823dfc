"""Choice of a runner among candidates."""

from collections.abc import Sequence
import random

from tamarackhatch.routing import _directory


def choose_runner(
    candidates: Sequence[_directory.Candidate],
    full_load: int,
    generator: random.Random,
) -> _directory.Candidate | None:
    """Returns the less loaded of two random candidates that are nearest.

    Two choices are nearly as good as the least loaded of all, and entry
    instances with the same old loads do not all choose the same runner.

    Args:
        candidates: Usable runners that were not tried yet.
        full_load: Load at which a farther runner that is less loaded is
            preferred to a nearer one.
        generator: Source of random numbers.
    """
    spare = [item for item in candidates if item.load < full_load]
    pool = spare or candidates
    if not pool:
        return None
    nearest = min(item.distance for item in pool)
    tier = [item for item in pool if item.distance == nearest]
    if len(tier) == 1:
        return tier[0]
    first, second = generator.sample(tier, 2)
    return first if first.load <= second.load else second

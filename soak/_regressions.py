"""Seeds that failed, with the cause of each; ``--regressions`` runs them.

A seed stands for its schedule only as long as `soak._schedule` and the
callers draw the same random numbers in the same order.
"""

import attrs


@attrs.frozen
class Regression:
    """A seed that broke a rule.

    Attributes:
        seed: The seed.
        seconds: Seconds in which faults were injected.
        cause: What broke the rule, and the commit that mended it.
    """

    seed: int
    seconds: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()

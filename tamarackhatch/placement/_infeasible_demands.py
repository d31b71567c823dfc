"""Remembers in a placement pass for which demands no runner has capacity.

Answers the load in which hundreds of tasks wait for capacity: without it, each
of their steps is compared with every runner in every pass.
"""

import attrs

from tamarackhatch import model


@attrs.frozen
class _Demand:
    """What a task asks for; larger values are harder to serve."""

    resources: model.Resources
    min_speed: float

    def is_covered_by(self, infeasible: "_Demand") -> bool:
        """Returns whether it is infeasible if another demand is."""
        return (
            infeasible.min_speed <= self.min_speed
            and infeasible.resources.fits_in(self.resources)
        )


_Kind = tuple[str, str, bool, bool, str]


class InfeasibleDemands:
    """Demands for which the runners of the present pass have no capacity.

    Within a pass, the runners only get fuller.
    """

    def __init__(self) -> None:
        self._by_kind: dict[_Kind, list[_Demand]] = {}

    def clear(self) -> None:
        """Forgets all demands, before another pass."""
        self._by_kind.clear()

    def add(self, service: str, step: model.Step, min_speed: float) -> None:
        """Records that no runner of a service can take a task of a step.

        Args:
            service: The service; all its runners were considered.
            step: The step.
            min_speed: Least share of its full speed that the task accepts.
        """
        self._by_kind.setdefault(_get_kind(service, step), []).append(
            _Demand(step.resources, min_speed)
        )

    def covers(self, service: str, step: model.Step, min_speed: float) -> bool:
        """Returns whether certainly no runner can take a task of a step."""
        demands = self._by_kind.get(_get_kind(service, step))
        if not demands:
            return False
        demand = _Demand(step.resources, min_speed)
        return any(demand.is_covered_by(infeasible) for infeasible in demands)


def _get_kind(service: str, step: model.Step) -> _Kind:
    # Only best-effort tasks are slowed down by the serving tasks beside them,
    # which depends on their image.
    image = step.image if step.is_best_effort else ""
    return (
        service,
        step.required_label,
        step.is_long_running,
        step.is_best_effort,
        image,
    )

"""The model learns from a runner that behaves as it assumes."""

import datetime
import math

from tamarackhatch import model
from tamarackhatch import placement

_BASE = 10.0
_TARGET = 50.0
_TRUE_FACTORS = {"heavy": 1.8, "light": 0.2}


def _compute_tail(time_s: float, shares: dict[str, float]) -> float:
    own = 0.45 + 0.2 * math.sin(2 * math.pi * time_s / 14)
    pressure = own + sum(
        _TRUE_FACTORS[image] * share for image, share in shares.items()
    )
    return _BASE / (1 - min(pressure, 0.98))


def _teach(factors: placement.InterferenceModel, seconds: int) -> None:
    """Shows a task beside which fillers come and go."""
    key = model.TaskKey("00", 0, 0, 0)
    for tick in range(seconds * 2):
        shares = {}
        if tick // 3 % 2:
            shares["heavy"] = 0.1
        if tick // 5 % 2:
            shares["light"] = 0.1
        time_s = tick / 2
        factors.observe(
            key,
            "watch",
            _compute_tail(time_s, shares),
            _TARGET,
            shares,
            datetime.timedelta(seconds=time_s),
        )


def test_heavy_fillers_are_told_from_light_ones() -> None:
    """Guards against blaming a filler for the task's own load."""
    factors = placement.InterferenceModel()
    _teach(factors, 30)
    assert factors.get_factor("watch", "heavy") > 1.2
    assert factors.get_factor("watch", "light") < 0.6


def test_learned_factors_are_handed_over() -> None:
    """A successor starts with what its predecessor knew."""
    teacher, pupil = (
        placement.InterferenceModel(),
        placement.InterferenceModel(),
    )
    _teach(teacher, 30)
    pupil.import_factors(teacher.export_factors(), datetime.timedelta())
    assert pupil.get_factor("watch", "heavy") == teacher.get_factor(
        "watch", "heavy"
    )


def test_forgotten_tasks_leave_no_state() -> None:
    """A task that no longer runs takes no memory."""
    factors = placement.InterferenceModel()
    _teach(factors, 5)
    key = model.TaskKey("00", 0, 0, 0)
    assert factors.get_state(key) is not None
    factors.forget(key)
    assert factors.get_state(key) is None

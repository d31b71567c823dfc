"""How tasks on one runner interfere, and what runners report of it.

The tail latency of a serving task is that of a queue, ``base / (1 -
utilisation)``. Its utilisation is its own load, a wave with a phase of its
job, plus for each best-effort task the share of the processors that it uses
times a factor of the two images.
"""

import hashlib
import math
import random

from fleetmodel import _profile
from fleetmodel import _work

_LIGHT = (0.08, 0.3)
_HEAVY = (1.4, 4.0)
_MAX_UTILISATION = 0.98
_CPU_CONTENTION_FACTOR = 0.5
# Reported figures are rough: a few per cent off, and sometimes far off.
_TAIL_LATENCY_NOISE = 0.04
# Sometimes a tail latency is reported too high for seconds.
_SPIKE_S = 2.0
_SPIKE_SHARE = 0.04
_SPIKE_FACTOR = (1.3, 1.7)
# A best-effort task is in a low-usage phase for seconds, uses less, and
# interferes far less.
_PHASE_S = 3.0
_LOW_USAGE_SHARE = 0.4
_LOW_USAGE = 0.67
_LOW_USAGE_INTENSITY = 0.3
_WINDOW_S = 0.5


class Interference:
    """The truth about interference on one day."""

    def __init__(self, profile: _profile.Profile, seed: int) -> None:
        self._profile = profile
        self._seed = seed
        self._low_usage: dict[tuple[str, int], bool] = {}
        self._phase_offsets: dict[str, float] = {}
        draw = random.Random(f"factors {seed}")
        best_effort_images = {kind.images for kind in profile.batch}
        self._factors = {
            (f"serving-{serving}", f"filler-{best_effort}"): draw.uniform(
                *(_HEAVY if draw.random() < profile.heavy_share else _LIGHT)
            )
            for serving in range(profile.serving.images)
            for best_effort in range(max(best_effort_images))
        }

    def get_factor(self, serving: str, best_effort: str) -> float:
        """Returns the factor of a best-effort image on a serving image."""
        return self._factors[(serving, best_effort)]

    def compute_own_load(self, job: _work.GeneratedJob, time: float) -> float:
        """Returns the load of a serving task by its own users."""
        kind = self._profile.serving
        angle = 2 * math.pi * time / kind.period_s + job.phase
        return kind.load + kind.swing * math.sin(angle)

    def compute_tail_latency(
        self,
        job: _work.GeneratedJob,
        time: float,
        shares: dict[str, float],
        cpu_contention: float = 0.0,
    ) -> float:
        """Returns the tail latency of a serving task in milliseconds.

        Args:
            job: Its job.
            time: Loop time.
            shares: Share of the runner's processors with which best-effort
                tasks of each image interfere.
            cpu_contention: Processors that are wanted beyond those that there
                are, as a share of these.
        """
        image = job.steps[0].image
        utilisation = self.compute_own_load(job, time) + sum(
            self.get_factor(image, best_effort) * share
            for best_effort, share in shares.items()
        )
        utilisation += _CPU_CONTENTION_FACTOR * cpu_contention
        return self._profile.serving.base_ms / (
            1 - min(utilisation, _MAX_UTILISATION)
        )

    def report_tail_latency(
        self, task: str, time: float, tail_latency: float
    ) -> int:
        """Returns what a runner reports of a tail latency, in milliseconds."""
        factor = self._draw("tail", task, time).gauss(1.0, _TAIL_LATENCY_NOISE)
        spike = self._draw("spike", task, time, _SPIKE_S)
        if spike.random() < _SPIKE_SHARE:
            factor *= spike.uniform(*_SPIKE_FACTOR)
        return max(1, round(tail_latency * factor))

    def report_use(self, task: str, time: float, use: float) -> int:
        """Returns what a runner reports of a best-effort task's CPU use."""
        if self.is_low_usage(task, time):
            use *= _LOW_USAGE
        return round(use * self._draw("use", task, time).gauss(1.0, 0.03))

    def is_low_usage(self, task: str, time: float) -> bool:
        """Tells whether a best-effort task is in a low-usage phase."""
        if task not in self._phase_offsets:
            self._phase_offsets[task] = self._draw("offset", task, 0).random()
        shifted = time + self._phase_offsets[task] * _PHASE_S
        key = (task, int(shifted / _PHASE_S))
        if key not in self._low_usage:
            draw = self._draw("calm", task, shifted, _PHASE_S)
            self._low_usage[key] = draw.random() < _LOW_USAGE_SHARE
        return self._low_usage[key]

    def get_intensity(self, task: str, time: float) -> float:
        """Returns how much a best-effort task interferes, from 0 to 1."""
        return _LOW_USAGE_INTENSITY if self.is_low_usage(task, time) else 1.0

    def _draw(
        self, kind: str, task: str, time: float, window_s: float = _WINDOW_S
    ) -> random.Random:
        # Two reports within one window say the same.
        text = f"{self._seed} {kind} {task} {int(time / window_s)}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return random.Random(int.from_bytes(digest, "big"))

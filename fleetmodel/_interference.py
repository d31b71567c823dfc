"""Interference of tasks on one runner, and the samples that runners report.

The tail latency of a serving task is that of a queue, ``base / (1 -
utilisation)``. Its utilisation is its own load, a sine wave whose phase
depends on the job, plus for each best-effort task the share of the processors
that it uses times a factor that depends on both images.
"""

import hashlib
import math
import random

from fleetmodel import _profile
from fleetmodel import _work

_LIGHT_FACTOR_RANGE = (0.08, 0.3)
_HEAVY_FACTOR_RANGE = (1.4, 4.0)
_MAX_UTILISATION = 0.98
# Added utilisation per unit of CPU contention.
_CPU_CONTENTION_FACTOR = 0.5
# Standard deviation of a reported tail latency, as a share of its value.
_RELATIVE_LATENCY_NOISE = 0.04
# In some windows the tail latency of a task is reported much too high.
_SPIKE_WINDOW_S = 2.0
_SPIKE_PROBABILITY = 0.04
_SPIKE_FACTOR_RANGE = (1.3, 1.7)
# Each phase of a best-effort task may be a low-usage phase, in which it uses
# less CPU and interferes far less.
_PHASE_S = 3.0
_LOW_USAGE_PROBABILITY = 0.4
_LOW_USAGE_CPU_RATIO = 0.67
_LOW_USAGE_INTENSITY = 0.3
_REPORT_WINDOW_S = 0.5


class Interference:
    """True interference on one day, which the scheduler has to estimate."""

    def __init__(self, profile: _profile.Profile, seed: int) -> None:
        self._profile = profile
        self._seed = seed
        self._low_usage: dict[tuple[str, int], bool] = {}
        self._phase_offsets: dict[str, float] = {}
        rng = random.Random(f"factors {seed}")
        best_effort_images = {kind.image_count for kind in profile.batch}
        self._factors = {
            (f"serving-{serving}", f"filler-{best_effort}"): rng.uniform(
                *(
                    _HEAVY_FACTOR_RANGE
                    if rng.random() < profile.heavy_share
                    else _LIGHT_FACTOR_RANGE
                )
            )
            for serving in range(profile.serving.image_count)
            for best_effort in range(max(best_effort_images))
        }

    def get_factor(self, serving: str, best_effort: str) -> float:
        """Returns the factor of a best-effort image with a serving image."""
        return self._factors[(serving, best_effort)]

    def compute_own_load(self, job: _work.GeneratedJob, time: float) -> float:
        """Returns the own load of a serving task, the load by its users."""
        kind = self._profile.serving
        angle = 2 * math.pi * time / kind.load_period_s + job.phase
        return kind.mean_load + kind.load_amplitude * math.sin(angle)

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
            time: Loop time, in seconds.
            shares: Share of the runner's processors with which best-effort
                tasks of each image interfere.
            cpu_contention: CPU use beyond the runner's processors, as a share
                of these.
        """
        image = job.steps[0].image
        utilisation = self.compute_own_load(job, time) + sum(
            self.get_factor(image, best_effort) * share
            for best_effort, share in shares.items()
        )
        utilisation += _CPU_CONTENTION_FACTOR * cpu_contention
        return self._profile.serving.base_latency_ms / (
            1 - min(utilisation, _MAX_UTILISATION)
        )

    def report_tail_latency(
        self, task: str, time: float, tail_latency: float
    ) -> int:
        """Returns the sample of a tail latency, in milliseconds."""
        factor = self._make_random("tail", task, time).gauss(
            1.0, _RELATIVE_LATENCY_NOISE
        )
        spike = self._make_random("spike", task, time, _SPIKE_WINDOW_S)
        if spike.random() < _SPIKE_PROBABILITY:
            factor *= spike.uniform(*_SPIKE_FACTOR_RANGE)
        return max(1, round(tail_latency * factor))

    def report_used_cpu(self, task: str, time: float, used_cpu: float) -> int:
        """Returns the sample of a best-effort task's CPU use."""
        if self.is_low_usage(task, time):
            used_cpu *= _LOW_USAGE_CPU_RATIO
        return round(
            used_cpu * self._make_random("use", task, time).gauss(1.0, 0.03)
        )

    def is_low_usage(self, task: str, time: float) -> bool:
        """Returns whether a best-effort task is in a low-usage phase."""
        if task not in self._phase_offsets:
            self._phase_offsets[task] = self._make_random(
                "offset", task, 0
            ).random()
        shifted = time + self._phase_offsets[task] * _PHASE_S
        key = (task, int(shifted / _PHASE_S))
        if key not in self._low_usage:
            rng = self._make_random("calm", task, shifted, _PHASE_S)
            self._low_usage[key] = rng.random() < _LOW_USAGE_PROBABILITY
        return self._low_usage[key]

    def get_intensity(self, task: str, time: float) -> float:
        """Returns the interference intensity of a best-effort task, 0 to 1."""
        return _LOW_USAGE_INTENSITY if self.is_low_usage(task, time) else 1.0

    def _make_random(
        self,
        kind: str,
        task: str,
        time: float,
        window_s: float = _REPORT_WINDOW_S,
    ) -> random.Random:
        # All reports of a task within one window get the same random numbers.
        text = f"{self._seed} {kind} {task} {int(time / window_s)}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return random.Random(int.from_bytes(digest, "big"))

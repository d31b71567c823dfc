"""Decision tables of the health of runners.

They answer a fleet of 246 runners of which a few fail all or 40 % of what
they start, while a task fails by itself with a probability of 0.5 to 3 %.
"""

import datetime

import attrs
import pytest

from tamarackhatch import health
from tamarackhatch import model

_SECOND = datetime.timedelta(seconds=1)
_START = 100 * _SECOND
_LIMITS = {"s": 4}


class _Trial:
    """A monitor with a clock that a test moves.

    Attributes:
        monitor: The monitor.
        now: Monotonic time.
    """

    def __init__(self) -> None:
        self.monitor = health.HealthMonitor()
        self.now = _START
        self.monitor.set_limits(_LIMITS, self.now)
        self._runs = 0

    def exit(
        self,
        runner: str,
        job: str,
        is_failure: bool,
        age_s: float = 0.1,
        is_long_running: bool = False,
    ) -> None:
        """Records the exit of a run that began ``age_s`` seconds ago."""
        self.now += _SECOND / 5
        self._runs += 1
        name = (model.TaskKey(job, 0, 0, self._runs), 1)
        self.monitor.record_exit(
            health.RunOutcome(
                runner,
                "s",
                name,
                "queue",
                is_failure,
                self.now - age_s * _SECOND,
                is_long_running,
            ),
            self.now,
        )

    def apply(self, exits: str, runner: str = "r") -> None:
        """Records exits of different jobs: F failed, S succeeded."""
        for number, letter in enumerate(exits):
            self.exit(runner, f"{runner}-{number}", letter == "F")

    def probe(self, runner: str, is_failure: bool) -> None:
        """Runs a probe on an ejected runner as soon as it is due."""
        while runner not in self.monitor.list_due_probes(self.now):
            self.now += _SECOND / 20
        self._runs += 1
        name = (model.TaskKey(f"probe-{self._runs}", 0, 0, 0), 1)
        self.monitor.record_probe(runner, name)
        assert runner not in self.monitor.list_due_probes(self.now)
        started = self.now
        self.now += _SECOND / 5
        self.monitor.record_exit(
            health.RunOutcome(runner, "s", name, "queue", is_failure, started),
            self.now,
        )

    def take_names(self) -> list[str]:
        """Returns the names of the events since the last call."""
        return [event.name for event in self.monitor.take_events()]


@pytest.mark.parametrize(
    ("exits", "is_ejected"),
    [
        pytest.param("", False, id="nothing known"),
        pytest.param("F", False, id="a task may fail by itself"),
        pytest.param("FF", True, id="fails everything"),
        pytest.param("SSSSSSSSFF", True, id="fails everything from now on"),
        pytest.param("FSSSSSSSSF", False, id="usual failures"),
        pytest.param("FSFSF", True, id="fails half"),
        pytest.param("SFSSFSFSSF", True, id="fails 40 per cent"),
        pytest.param("SSSSSSSSSS", False, id="sound"),
    ],
)
def test_ejection_by_exits(exits: str, is_ejected: bool) -> None:
    """Guards against runners that fail many runs before they are ejected."""
    trial = _Trial()
    trial.apply(exits)
    assert trial.monitor.is_ejected("r") == is_ejected


def test_failures_of_one_job_count_once() -> None:
    """Guards against an ejection for a job that always fails."""
    trial = _Trial()
    for _ in range(9):
        trial.exit("r", "job", True)
    assert not trial.monitor.is_ejected("r")


def test_job_that_fails_everywhere_counts_for_no_runner() -> None:
    """Guards against ejections by a bad job beside usual failures."""
    trial = _Trial()
    trial.exit("r0", "usual", True)
    trial.exit("r0", "bad", True)
    assert trial.monitor.is_ejected("r0")
    for number in range(1, 5):
        trial.exit(f"r{number}", "bad", True)
    assert trial.monitor.ejected == []
    assert trial.take_names()[-1] == "runner_readmitted"
    assert trial.monitor.compute_penalty("r1") == 0.0


def test_jobs_that_share_failing_runners_still_count() -> None:
    """Guards against a cover for runners on which the same jobs fail.

    Failing runners are the emptiest ones, so that each job may meet all.
    """
    trial = _Trial()
    for job in ("one", "two", "three"):
        for number in range(3):
            trial.exit(f"r{number}", job, True)
    assert len(trial.monitor.ejected) == 3


def test_success_of_an_earlier_run_is_no_proof() -> None:
    """Guards against runs from before a fault that hide it."""
    trial = _Trial()
    trial.apply("SSSF")
    for number in range(5):
        trial.exit("r", f"old-{number}", False, age_s=5.0)
    assert not trial.monitor.is_proven("r")
    trial.exit("r", "last", True)
    assert trial.monitor.is_ejected("r")


@pytest.mark.parametrize(
    ("ages_s", "is_ejected"),
    [
        pytest.param([60.0] * 8, False, id="fail at any time"),
        pytest.param([0.5] * 2, False, id="two that fail at once"),
        pytest.param([0.5] * 6, True, id="many that fail at once"),
    ],
)
def test_long_running_tasks_are_weak_evidence(
    ages_s: list[float], is_ejected: bool
) -> None:
    """Guards against ejections for serving tasks, which fail by themselves."""
    trial = _Trial()
    trial.apply("SSS")
    for number, age_s in enumerate(ages_s):
        trial.exit("r", f"serving-{number}", True, age_s, True)
    assert trial.monitor.is_ejected("r") == is_ejected
    if not is_ejected:
        allowed = trial.monitor.count_allowed("r", [], trial.now)
        assert allowed == health.UNLIMITED


@pytest.mark.parametrize(
    ("exits", "is_proven"),
    [
        ("", False),
        ("S", True),
        ("SF", False),
        ("SFS", False),
        ("SFSSS", True),
        ("FF", False),
    ],
)
def test_last_attempts_need_a_proven_runner(
    exits: str, is_proven: bool
) -> None:
    """Guards against jobs of two attempts that fail on two bad runners."""
    trial = _Trial()
    trial.apply(exits)
    monitor = trial.monitor
    assert monitor.may_start("r", True, 0 * _SECOND) == is_proven
    is_ejected = monitor.is_ejected("r")
    assert monitor.may_start("r", True, _SECOND) != is_ejected
    assert monitor.may_start("r", False, 0 * _SECOND) != is_ejected


@pytest.mark.parametrize(
    ("history", "wait_s", "in_flight", "allowed"),
    [
        pytest.param("", 0.0, 0, 4, id="new"),
        pytest.param("", 0.0, 4, 0, id="new, with four starts"),
        pytest.param("", 1.0, 4, 4, id="new, after a second"),
        pytest.param("", 2.6, 8, health.UNLIMITED, id="new, no idle time"),
        pytest.param("S", 0.0, 9, health.UNLIMITED, id="proven"),
        pytest.param("SF", 0.0, 0, 4, id="failed"),
        pytest.param("SF", 0.0, 4, 0, id="failed, with four starts"),
        pytest.param("SF", 2.6, 9, health.UNLIMITED, id="failed, in time"),
    ],
)
def test_starts_in_flight_are_limited(
    history: str, wait_s: float, in_flight: int, allowed: int
) -> None:
    """Guards against a burst of failures, and against idle capacity."""
    trial = _Trial()
    trial.apply(history)
    trial.monitor.record_start("r", trial.now)
    now = trial.now + wait_s * _SECOND
    started = [trial.now] * in_flight
    assert trial.monitor.count_allowed("r", started, now) == allowed


def test_runner_of_an_earlier_term_is_not_limited() -> None:
    """Guards against takeovers that slow down starts."""
    trial = _Trial()
    trial.monitor.trust("r")
    assert trial.monitor.is_unrestricted("r")
    trial.monitor.forget("r")
    assert not trial.monitor.is_unrestricted("r")


def test_probes_readmit_a_runner_step_by_step() -> None:
    """Guards against lost capacity, and a second burst of failures."""
    trial = _Trial()
    trial.apply("FF")
    monitor = trial.monitor
    assert trial.take_names() == ["runner_ejected"]
    trial.probe("r", False)
    assert monitor.is_ejected("r")
    trial.probe("r", False)
    assert not monitor.is_ejected("r")
    assert trial.take_names()[-1] == "runner_readmitted"
    assert monitor.count_allowed("r", [trial.now] * 3, trial.now) == 1
    trial.exit("r", "one", False)
    assert monitor.count_allowed("r", [trial.now] * 3, trial.now) == 5
    trial.apply("SSSSSS")
    assert monitor.is_unrestricted("r")


def test_readmitted_runner_is_ejected_by_one_failure() -> None:
    """Guards against runners that fail 40 % and pass two probes by chance."""
    trial = _Trial()
    trial.apply("FF")
    trial.probe("r", False)
    trial.probe("r", False)
    trial.exit("r", "again", True)
    assert trial.monitor.is_ejected("r")


def test_pause_doubles_with_each_failed_probe() -> None:
    """Guards against a failing runner that keeps failing tasks as probes."""
    trial = _Trial()
    trial.apply("FF")
    pauses = []
    for _ in range(5):
        before = trial.now
        trial.probe("r", True)
        pauses.append(round((trial.now - before).total_seconds() - 0.2))
    assert pauses == [1, 2, 4, 8, 8]


def test_runner_returns_if_no_task_can_probe_it() -> None:
    """Guards against services whose tasks all have one attempt."""
    trial = _Trial()
    trial.apply("FF")
    trial.now += 20 * _SECOND
    trial.monitor.defer_probe("r", trial.now)
    assert trial.monitor.is_ejected("r")
    trial.now += 20 * _SECOND
    trial.monitor.defer_probe("r", trial.now)
    assert not trial.monitor.is_ejected("r")
    assert trial.monitor.count_allowed("r", [], trial.now) == 4


def test_a_third_at_most_is_ejected() -> None:
    """Guards against a service without runners where the work is at fault."""
    trial = _Trial()
    for number in range(12):
        trial.apply("FF", f"r{number}")
    assert len(trial.monitor.ejected) == _LIMITS["s"]
    trial.monitor.set_limits({"s": 1}, trial.now)
    assert len(trial.monitor.ejected) == 1
    trial.monitor.set_limits({}, trial.now)
    assert not trial.monitor.ejected


def test_work_that_often_fails_raises_the_usual_rate() -> None:
    """Guards against ejections where two fifths of a queue's runs fail."""
    trial = _Trial()
    trial.monitor.set_limits({}, trial.now)
    for number in range(80):
        trial.apply("FSFSS", f"r{number}")
    trial.monitor.set_limits({"s": 20}, trial.now)
    trial.apply("FF", "new")
    assert not trial.monitor.is_ejected("new")


@pytest.mark.parametrize(
    ("times_s", "is_unrestricted"),
    [
        pytest.param([0.0, 5.0], True, id="two losses"),
        pytest.param([0.0, 3.0, 6.0], False, id="three in 10 s"),
        pytest.param([0.0, 9.0, 18.0, 27.0], True, id="seldom"),
    ],
)
def test_flapping_runner_is_unproven(
    times_s: list[float], is_unrestricted: bool
) -> None:
    """Guards against work on a runner that answers now and then."""
    trial = _Trial()
    trial.apply("SS")
    for time_s in times_s:
        trial.monitor.record_loss("r", trial.now + time_s * _SECOND)
    assert trial.monitor.is_unrestricted("r") == is_unrestricted
    assert trial.monitor.is_proven("r") == is_unrestricted


def test_hung_runner_is_ejected() -> None:
    """Guards against a runner whose runs hold up their jobs."""
    trial = _Trial()
    trial.apply("SSS")
    trial.monitor.record_stall("r", "s", trial.now)
    assert trial.monitor.is_ejected("r")
    (event,) = trial.monitor.take_events()
    assert event.reason == health.EjectionReason.NO_PROGRESS.value
    assert attrs.asdict(event)["pause"] == _SECOND

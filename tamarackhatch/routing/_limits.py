"""Slots, connections, queue and health of the runners owned here."""

import asyncio
import collections
from collections.abc import Iterator
import datetime
import enum

import attrs

from tamarackhatch import clock as clock_module
from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.routing import _errors
from tamarackhatch.routing import _waiting

# Clocks are assumed to agree within this; a runner may work on a request for
# that much longer than its deadline by our clock.
CLOCK_SKEW = datetime.timedelta(seconds=1)
# Connections kept free of watches for each slot: one in use, one idle in the
# client's cache, and one closed here that the runner has yet to notice.
_CONNECTIONS_PER_SLOT = 3
# The runner notices the end of a watch's connection within this time.
_CLOSE_DELAY = datetime.timedelta(milliseconds=250)
# Interval at which a waiting request looks for a reason to be refused.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
_FIRST_PROBE_DELAY = datetime.timedelta(seconds=1)
_MAX_PROBE_DELAY = datetime.timedelta(seconds=60)
_BUSY_RETRY = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta()


class SendResult(enum.Enum):
    """How sending a request to a runner ended.

    NOT_SENT is a failure of the runner, WITHDRAWN a decision not to send.
    UNANSWERED is an unknown outcome that tells nothing about the runner's
    health, such as the end of a deadline that was very short.
    """

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"
    UNANSWERED = "unanswered"


@attrs.define(eq=False)
class _Waiter:
    """A request that waits for a slot."""

    service: str
    is_repeatable: bool
    granted: "asyncio.Future[None]"


@attrs.define(eq=False)
class _Runner:
    """State of one runner; kept while anything to it is in flight."""

    busy: int = 0
    watches: int = 0
    waiters: collections.deque[_Waiter] = attrs.field(
        factory=collections.deque
    )
    failures: int = 0
    probe_at: datetime.timedelta | None = None
    probe_delay: datetime.timedelta = _FIRST_PROBE_DELAY
    is_probing: bool = False
    draining_epoch: int | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_idle(self) -> bool:
        return not (self.busy or self.watches or self.waiters)


class Permit:
    """The right to send one request to a runner."""

    def __init__(
        self,
        limits: "RunnerLimits",
        worker: str,
        is_watch: bool,
        is_probe: bool,
    ) -> None:
        self._limits = limits
        self._worker = worker
        self._is_watch = is_watch
        self._is_probe = is_probe
        self._is_released = False

    @property
    def worker(self) -> str:
        """Worker that the runner sits on."""
        return self._worker

    @property
    def is_watch(self) -> bool:
        """Whether it holds a connection but no slot."""
        return self._is_watch

    @property
    def is_probe(self) -> bool:
        """Whether the request finds out if an ejected runner has healed."""
        return self._is_probe

    @property
    def is_released(self) -> bool:
        """Whether the slot or connection was given back."""
        return self._is_released

    def release(self, result: SendResult, deadline: datetime.datetime) -> None:
        """Gives the slot or connection back.

        Args:
            result: How the sending ended.
            deadline: The deadline that the request carried. After an unknown
                outcome the runner may work on the request until then, so the
                slot stays in use for as long.
        """
        if self._is_released:
            raise ValueError("the permit was released before")
        self._is_released = True
        self._limits.finish_permit(self, result, deadline)


class RunnerLimits:
    """Counts what the runners owned by this entry instance do.

    Args:
        clock: Source of time.
        ownership: Which workers this instance owns.
        instances: The instance list as last read.
        configuration: Limits of the services.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ownership: membership.OwnershipView,
        instances: platform.InstanceView,
        configuration: declarations.ConfigurationView,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._instances = instances
        self._configuration = configuration
        self._runners: dict[str, _Runner] = {}
        self._is_draining = False
        self._holds: set[asyncio.Task[None]] = set()

    def list_loads(self) -> tuple[model.RunnerLoad, ...]:
        """Returns the loads of the runners on all owned workers."""
        return tuple(self._iterate_loads())

    def find_refusal(
        self, worker: str, request: model.ServiceRequest
    ) -> _errors.RequestRefusedError | None:
        """Returns why the request may not be sent now, else None.

        Covers authority, the instance list and the wait after a takeover,
        but no counts. It is asked again right before each send.
        """
        if not self._ownership.has_authority(worker):
            return _refuse(
                errors.ErrorCode.NO_AUTHORITY, f"no authority over {worker}"
            )
        backend = self._instances.get_backend(worker)
        if backend is None or backend.runner_address is None:
            return _refuse(
                errors.ErrorCode.NO_RUNNER, f"{worker} has no runner"
            )
        if backend.service != request.service:
            return _refuse(
                errors.ErrorCode.NO_RUNNER,
                f"the runner on {worker} serves {backend.service}",
            )
        if backend.state is not model.ServerState.LIVE:
            return _refuse(errors.ErrorCode.LEAVING, f"{worker} is leaving")
        wait = self._compute_takeover_wait(worker, request.service)
        if wait > _ZERO:
            return _refuse(
                errors.ErrorCode.NO_RUNNER,
                f"requests of the previous owner of {worker} may still run",
                wait,
            )
        return None

    async def acquire(
        self, worker: str, request: model.ServiceRequest
    ) -> Permit:
        """Waits for the right to send a request to a runner.

        Raises:
            RequestRefusedError: There is no capacity before the deadline, or
                none at all; the request was not sent.
        """
        self._check_admission(worker, request)
        runner = self._runners.setdefault(worker, _Runner())
        policy = self._configuration.get_service_policy(request.service)
        if request.is_watch:
            return self._acquire_connection(worker, runner, policy)
        if runner.probe_at is not None:
            return self._acquire_probe(worker, runner, request)
        if runner.busy < policy.slots and not runner.waiters:
            runner.busy += 1
            return Permit(self, worker, is_watch=False, is_probe=False)
        if self._count_waiting(request.service) >= policy.max_queue:
            raise _errors.RequestRefusedError(
                errors.ErrorCode.QUEUE_FULL,
                f"{policy.max_queue} requests wait already",
                _BUSY_RETRY,
            )
        await self._wait_for_slot(worker, runner, request)
        return Permit(self, worker, is_watch=False, is_probe=False)

    def finish_permit(
        self, permit: Permit, result: SendResult, deadline: datetime.datetime
    ) -> None:
        """Takes a permit back; called by the permit only."""
        runner = self._runners[permit.worker]
        self._note_health(permit, runner, result)
        delay = _ZERO
        if permit.is_watch:
            delay = _CLOSE_DELAY
        elif result in (SendResult.UNKNOWN, SendResult.UNANSWERED):
            delay = deadline + CLOCK_SKEW - self._clock.get_utc()
        if delay > _ZERO:
            hold = asyncio.create_task(self._hold(permit, runner, delay))
            self._holds.add(hold)
            hold.add_done_callback(self._holds.discard)
        else:
            self._give_back(permit, runner)

    async def drain_worker(self, worker: str) -> None:
        """Stops taking new requests for a worker and waits until it is idle.

        Requests that wait for a slot are still served. The worker takes
        requests again only under a new epoch.
        """
        runner = self._runners.setdefault(worker, _Runner())
        try:
            runner.draining_epoch = self._ownership.get_epoch(worker)
        except KeyError:
            runner.draining_epoch = None
        runner.changed.set()
        while not runner.is_idle:
            runner.changed.clear()
            await runner.changed.wait()

    def resume_worker(self, worker: str) -> None:
        """Takes requests again for a worker whose release was given up."""
        if worker in self._runners:
            self._runners[worker].draining_epoch = None

    async def drain_all(self) -> None:
        """Drains every worker, for good."""
        self._is_draining = True
        workers = set(self._runners) | set(self._ownership.list_owned())
        await asyncio.gather(
            *(self.drain_worker(worker) for worker in sorted(workers))
        )

    def is_draining(self, worker: str) -> bool:
        """Tells whether new requests for the worker are refused."""
        if self._is_draining:
            return True
        runner = self._runners.get(worker)
        if runner is None or runner.draining_epoch is None:
            return False
        try:
            return runner.draining_epoch == self._ownership.get_epoch(worker)
        except KeyError:
            return False

    async def wait_stop(self, worker: str) -> None:
        """Returns once a planned stop of the worker or its owner began."""
        while not (self.is_draining(worker) or self._is_leaving(worker)):
            await self._clock.sleep(_CHECK_INTERVAL)

    def _is_leaving(self, worker: str) -> bool:
        backend = self._instances.get_backend(worker)
        return (
            backend is not None and backend.state is model.ServerState.LEAVING
        )

    def _iterate_loads(self) -> Iterator[model.RunnerLoad]:
        for worker in self._ownership.list_owned():
            backend = self._instances.get_backend(worker)
            if backend is None or backend.service is None:
                continue
            runner = self._runners.get(worker, _Runner())
            yield model.RunnerLoad(
                worker,
                backend.service,
                runner.busy,
                len(runner.waiters),
                self._is_usable(worker, runner, backend),
            )

    def _is_usable(
        self, worker: str, runner: _Runner, backend: model.BackendServer
    ) -> bool:
        assert backend.service is not None
        return (
            backend.state is model.ServerState.LIVE
            and backend.runner_address is not None
            and not self.is_draining(worker)
            and self._ownership.has_authority(worker)
            and self._compute_takeover_wait(worker, backend.service) <= _ZERO
            and (
                runner.probe_at is None
                or self._compute_probe_wait(runner) <= _ZERO
            )
        )

    def _check_admission(
        self, worker: str, request: model.ServiceRequest
    ) -> None:
        if request.deadline <= self._clock.get_utc():
            raise _errors.RequestRefusedError(
                errors.ErrorCode.DEADLINE_PASSED, "the deadline has passed"
            )
        if self.is_draining(worker):
            raise _errors.RequestRefusedError(
                errors.ErrorCode.LEAVING, f"the owner is draining {worker}"
            )
        refusal = self.find_refusal(worker, request)
        if refusal is not None:
            raise refusal

    def _acquire_connection(
        self,
        worker: str,
        runner: _Runner,
        policy: declarations.ServicePolicy,
    ) -> Permit:
        if runner.probe_at is not None:
            # The outcome of a watch comes late, so it is no good probe.
            raise _ejected(worker, self._compute_probe_wait(runner))
        limit = policy.connections - _CONNECTIONS_PER_SLOT * policy.slots
        if runner.watches >= limit:
            raise _errors.RequestRefusedError(
                errors.ErrorCode.QUEUE_FULL,
                f"{runner.watches} watches are open on {worker} already",
                _BUSY_RETRY,
            )
        runner.watches += 1
        return Permit(self, worker, is_watch=True, is_probe=False)

    def _acquire_probe(
        self, worker: str, runner: _Runner, request: model.ServiceRequest
    ) -> Permit:
        wait = self._compute_probe_wait(runner)
        if not request.is_repeatable:
            # A probe is likely to fail, which leaves the outcome of a
            # non-repeatable request unknown. It is used only when no
            # repeatable request came for as long as the delay itself.
            wait += runner.probe_delay
        policy = self._configuration.get_service_policy(request.service)
        if wait > _ZERO or runner.busy >= policy.slots:
            raise _ejected(worker, max(wait, _BUSY_RETRY))
        runner.is_probing = True
        runner.busy += 1
        return Permit(self, worker, is_watch=False, is_probe=True)

    async def _wait_for_slot(
        self, worker: str, runner: _Runner, request: model.ServiceRequest
    ) -> None:
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(request.service, request.is_repeatable, granted)
        runner.waiters.append(waiter)
        try:
            while True:
                remaining = request.deadline - self._clock.get_utc()
                if remaining <= _ZERO:
                    raise _errors.RequestRefusedError(
                        errors.ErrorCode.DEADLINE_PASSED,
                        f"no slot of {worker} came free before the deadline",
                    )
                await _waiting.wait_bounded(
                    self._clock, granted, min(remaining, _CHECK_INTERVAL)
                )
                refusal = self.find_refusal(worker, request)
                if refusal is not None:
                    raise refusal
                if granted.done():
                    return
                if runner.probe_at is not None:
                    raise _ejected(worker, self._compute_probe_wait(runner))
        except BaseException:
            # A cancelled wait must not keep a slot that it was granted.
            if granted.done():
                self._free_slot(worker, runner)
            raise
        finally:
            if waiter in runner.waiters:
                runner.waiters.remove(waiter)
            runner.changed.set()

    def _note_health(
        self, permit: Permit, runner: _Runner, result: SendResult
    ) -> None:
        now = self._clock.get_monotonic()
        if permit.is_probe:
            runner.is_probing = False
            if result is SendResult.ANSWERED:
                runner.probe_at = None
                runner.failures = 0
            elif result is not SendResult.WITHDRAWN:
                runner.probe_delay = min(
                    2 * runner.probe_delay, _MAX_PROBE_DELAY
                )
                runner.probe_at = now + runner.probe_delay
            return
        if runner.probe_at is not None:
            # Requests sent before the ejection tell nothing new.
            return
        if result in (SendResult.UNANSWERED, SendResult.WITHDRAWN):
            return
        if result is SendResult.ANSWERED:
            runner.failures = 0
            runner.probe_delay = _FIRST_PROBE_DELAY
            return
        runner.failures += 1
        if runner.failures >= self._get_eject_failures(permit.worker):
            runner.probe_at = now + runner.probe_delay

    def _get_eject_failures(self, worker: str) -> int:
        backend = self._instances.get_backend(worker)
        service = backend.service if backend is not None else None
        return self._configuration.get_service_policy(
            service or ""
        ).eject_failures

    async def _hold(
        self, permit: Permit, runner: _Runner, delay: datetime.timedelta
    ) -> None:
        await self._clock.sleep(delay)
        self._give_back(permit, runner)

    def _give_back(self, permit: Permit, runner: _Runner) -> None:
        if permit.is_watch:
            runner.watches -= 1
            runner.changed.set()
        else:
            self._free_slot(permit.worker, runner)

    def _free_slot(self, worker: str, runner: _Runner) -> None:
        runner.busy -= 1
        while runner.waiters:
            waiter = runner.waiters[0]
            policy = self._configuration.get_service_policy(waiter.service)
            # The limit may have been lowered since.
            if runner.busy >= policy.slots or runner.probe_at is not None:
                break
            runner.waiters.popleft()
            if not waiter.granted.done():
                runner.busy += 1
                waiter.granted.set_result(None)
        runner.changed.set()

    def _count_waiting(self, service: str) -> int:
        return sum(
            1
            for runner in self._runners.values()
            for waiter in runner.waiters
            if waiter.service == service
        )

    def _compute_probe_wait(self, runner: _Runner) -> datetime.timedelta:
        assert runner.probe_at is not None
        if runner.is_probing:
            return runner.probe_delay
        return runner.probe_at - self._clock.get_monotonic()

    def _compute_takeover_wait(
        self, worker: str, service: str
    ) -> datetime.timedelta:
        claimed_at = self._ownership.get_claimed_at(worker)
        if claimed_at is None:
            return _ZERO
        policy = self._configuration.get_service_policy(service)
        longest = max(policy.max_deadline, policy.watch_length)
        end = claimed_at + longest + CLOCK_SKEW
        return end - self._clock.get_monotonic()


def _refuse(
    code: errors.ErrorCode,
    message: str,
    retry_after: datetime.timedelta | None = None,
) -> _errors.RequestRefusedError:
    return _errors.RequestRefusedError(code, message, retry_after)


def _ejected(
    worker: str, wait: datetime.timedelta
) -> _errors.RequestRefusedError:
    return _errors.RequestRefusedError(
        errors.ErrorCode.NO_RUNNER,
        f"the runner on {worker} is ejected after failures",
        max(wait, _BUSY_RETRY),
    )

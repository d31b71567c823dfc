"""The settings file of one instance; docs/settings.md explains it."""

import datetime
import typing

import attrs

from tamarackhatch import documents
from tamarackhatch.settings import _kinds

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
# Runner clocks may be 2 % slow; the rest covers the transmission of an answer.
_SLOW_CLOCK_FACTOR = 1.03


@attrs.frozen
class Bounds:
    """Time bounds of the deployment.

    Attributes:
        apply_configuration: Time within which a new configuration is in force
            at every instance.
        contact: Time after which a changed capacity of a runner counts, not
            counting a heartbeat of the runner.
        max_lease: Longest lease that a runner grants.
        grace: Time from SIGTERM to SIGKILL.
        status_retention: How long the state of a finished job is kept.
        evacuation: Time after which nothing more may start in a data centre
            that the operator evacuates; None where there are no evacuations.
        remote_slowdown: Factor by which a task takes longer away from its
            data, or spread over several racks; None if nothing is known.
        stop_timeout: Longest time that a runner takes to stop a run.
        restore: Time that a run needs to resume from a checkpoint; None where
            runs do not resume.
        checkpoint_interval: Work between two checkpoints of a task.
    """

    apply_configuration: datetime.timedelta = 2.5 * _SECOND
    contact: datetime.timedelta = 4 * _SECOND
    max_lease: datetime.timedelta = 6 * _SECOND
    grace: datetime.timedelta = 6 * _SECOND
    status_retention: datetime.timedelta = 120 * _SECOND
    evacuation: datetime.timedelta | None = None
    remote_slowdown: float | None = None
    stop_timeout: datetime.timedelta = 1 * _SECOND
    restore: datetime.timedelta | None = None
    checkpoint_interval: datetime.timedelta = 2 * _SECOND


@attrs.frozen
class Scheduling:
    """Leases and intervals of the scheduler.

    Attributes:
        lease: Lease that each renewal asks for; ``Bounds.max_lease`` shortens
            it. It must outlast a takeover, and it delays the restart of the
            tasks of an unreachable runner.
        leader_timeout: Time without a heartbeat of the active scheduler after
            which another instance takes over.
        leader_heartbeat_interval: Time between two heartbeats of the active
            scheduler.
        leader_lease: Time since its last confirmed heartbeat after which the
            scheduler sends no commands. A longer time bridges longer outages
            of the store, but lengthens the wait for unreachable runners after
            a takeover.
    """

    lease: datetime.timedelta = 5 * _SECOND
    leader_timeout: datetime.timedelta = 2 * _SECOND
    leader_heartbeat_interval: datetime.timedelta = 0.7 * _SECOND
    leader_lease: datetime.timedelta = 5 * _SECOND


@attrs.frozen
class Limits:
    """What the clients of all servers of the process may use together.

    Attributes:
        connections: Number of open connections.
        receive_buffer_mb: Memory for requests that are being received or
            handled, in MiB.
    """

    connections: int = 1200
    receive_buffer_mb: int = 16


@attrs.frozen
class Logging:
    """Volume of the log.

    Attributes:
        level: Lowest level that is written.
        lines_per_s: Maximum number of lines per second; further lines are
            only counted.
    """

    level: str = "info"
    lines_per_s: int = 400


@attrs.frozen
class Settings:
    """Settings of one instance.

    Attributes:
        instance: Identity of the instance, unique in the fleet.
        data_centre: Data centre in which the instance runs.
        processor_share: Share of a core that the process may use.
        processor_speed: Speed of that core against a reference core.
        caller_address: Address at which callers are served.
        readiness_address: Address at which the load balancer checks readiness.
        metrics_address: Address at which counters and histograms are served;
            None turns them off.
        store_address: Address of the platform's metadata store.
        advice_address: Address of the platform's placement policy service, if
            any.
        interface_address: Address at which the project's own job interface is
            served; None turns it off.
        internal_address: Address at which other instances forward requests to
            this one; None turns forwarding off in both directions.
        bounds: Time bounds of the deployment.
        scheduling: Leases and intervals of the scheduler.
        limits: What clients may use together.
        logging: Volume of the log.
    """

    instance: str
    data_centre: str
    caller_address: _kinds.Address
    readiness_address: _kinds.Address
    store_address: _kinds.Address
    processor_share: float = 1.0
    processor_speed: float = 1.0
    metrics_address: _kinds.Address | None = None
    advice_address: _kinds.Address | None = None
    interface_address: _kinds.Address | None = None
    internal_address: _kinds.Address | None = None
    bounds: Bounds = Bounds()
    scheduling: Scheduling = Scheduling()
    limits: Limits = Limits()
    logging: Logging = Logging()

    @property
    def processor(self) -> float:
        """Processor time that the process may use, in reference cores."""
        return self.processor_share * self.processor_speed

    @property
    def public_metrics_address(self) -> str | None:
        """Address at which others reach the metrics; None if not known.

        A wildcard stands for the host of another address of the instance.
        """
        address = self.metrics_address
        if address is None or not address.port:
            return None
        hosts = (address, self.internal_address, self.caller_address)
        return next(
            (
                str(attrs.evolve(address, host=known.host))
                for known in hosts
                if known is not None and not known.is_wildcard
            ),
            None,
        )

    @property
    def takeover_wait(self) -> datetime.timedelta:
        """Time after a takeover during which earlier leases may be valid.

        A superseded scheduler renews leases until its leader lease expires.
        The last of them expires one lease later, on a clock that may be slow.
        """
        bound = self.scheduling.leader_lease + self.lease
        return bound * _SLOW_CLOCK_FACTOR

    @property
    def longest_run(self) -> datetime.timedelta:
        """Longest time from a start to the end of its run by the lease.

        A runner grants its longest lease to a start that was meant for its
        earlier incarnation, and then kills the run.
        """
        bounds = self.bounds
        return bounds.max_lease * _SLOW_CLOCK_FACTOR + bounds.stop_timeout

    @property
    def lease(self) -> datetime.timedelta:
        """Lease that a renewal asks for, within the deployment's bound."""
        return min(self.scheduling.lease, self.bounds.max_lease)


_NAME = documents.Text(
    pattern=r"[A-Za-z0-9][A-Za-z0-9._-]*",
    rule="a name of letters, digits, '.', '_' and '-'",
    maximum=120,
)
_LEVEL = documents.Text(
    pattern="debug|info|warning|error",
    rule="debug, info, warning or error",
)


def _make_duration(
    name: str,
    unit: datetime.timedelta,
    minimum: int,
    maximum: int,
    attribute: str = "",
) -> documents.Key:
    suffix = "_s" if unit == _SECOND else "_ms"
    return documents.Key(
        name + suffix,
        documents.Duration(unit, minimum, maximum, allows_fraction=True),
        attribute or name,
        is_nullable=True,
    )


def _make_bounds(**values: typing.Any) -> Bounds:
    """Uses the default for each bound that is null."""
    return Bounds(
        **{name: value for name, value in values.items() if value is not None}
    )


def _make_scheduling(**values: typing.Any) -> Scheduling:
    return Scheduling(
        **{name: value for name, value in values.items() if value is not None}
    )


_BOUNDS_KEYS: typing.Final = (
    _make_duration("apply_configuration", _MILLISECOND, 100, 600_000),
    _make_duration("contact", _MILLISECOND, 100, 60_000),
    _make_duration("max_lease", _MILLISECOND, 100, 600_000),
    _make_duration("grace", _SECOND, 0, 3_600),
    _make_duration("status_retention", _SECOND, 1, 86_400),
    _make_duration("evacuation", _MILLISECOND, 100, 600_000),
    documents.Key(
        "remote_slowdown", documents.Decimal(1, 1_000), is_nullable=True
    ),
    _make_duration("stop_timeout", _MILLISECOND, 1, 600_000),
    _make_duration("restore", _MILLISECOND, 0, 600_000),
    _make_duration("checkpoint_interval", _SECOND, 0, 86_400),
)
_SCHEDULING_KEYS: typing.Final = (
    _make_duration("lease", _MILLISECOND, 500, 600_000),
    _make_duration("leader_timeout", _MILLISECOND, 300, 60_000),
    _make_duration(
        "leader_beat", _MILLISECOND, 50, 20_000, "leader_heartbeat_interval"
    ),
    _make_duration("authority", _MILLISECOND, 500, 600_000, "leader_lease"),
)
_LIMITS_KEYS: typing.Final = (
    documents.Key("connections", documents.Integer(1, 1_000_000)),
    documents.Key("receive_buffer_mb", documents.Integer(1, 1_000_000)),
)
_LOGGING_KEYS: typing.Final = (
    documents.Key("level", _LEVEL),
    documents.Key("lines_per_s", documents.Integer(1, 100_000)),
)
SETTINGS_KEYS: typing.Final = (
    documents.Key("instance", _NAME, is_required=True),
    documents.Key("data_centre", _NAME, is_required=True),
    documents.Key("processor_share", documents.Decimal(0, 1_000)),
    documents.Key("processor_speed", documents.Decimal(0, 1_000)),
    documents.Key("caller_address", _kinds.AddressKind(), is_required=True),
    documents.Key("readiness_address", _kinds.AddressKind(), is_required=True),
    documents.Key(
        "store_address",
        _kinds.AddressKind(minimum_port=1),
        is_required=True,
    ),
    documents.Key("metrics_address", _kinds.AddressKind(), is_nullable=True),
    documents.Key(
        "advice_address",
        _kinds.AddressKind(minimum_port=1),
        is_nullable=True,
    ),
    documents.Key("interface_address", _kinds.AddressKind(), is_nullable=True),
    documents.Key(
        "internal_address",
        _kinds.AddressKind(minimum_port=1),
        is_nullable=True,
    ),
    documents.Key("bounds", documents.Nested(_make_bounds, _BOUNDS_KEYS)),
    documents.Key(
        "scheduling", documents.Nested(_make_scheduling, _SCHEDULING_KEYS)
    ),
    documents.Key("limits", documents.Nested(Limits, _LIMITS_KEYS)),
    documents.Key("logging", documents.Nested(Logging, _LOGGING_KEYS)),
)


def load_settings(path: str) -> Settings:
    """Loads a settings file.

    Raises:
        FindingsError: The file cannot be read or is invalid; the error lists
            all findings.
    """
    collector = documents.Collector()
    node = documents.read_file(path, collector)
    settings = None if node is None else read_settings(node, collector)
    collector.raise_findings()
    assert settings is not None
    return settings


def read_settings(
    node: documents.Node, collector: documents.Collector
) -> Settings | None:
    """Returns the settings, or None after adding findings."""
    findings_before = collector.count
    values = documents.read_object(node, "", SETTINGS_KEYS, collector)
    if values is None or collector.count > findings_before:
        return None
    return Settings(**values)

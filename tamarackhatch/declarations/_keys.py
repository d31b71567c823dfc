"""The keys of declarations; see docs/OPERATIONS.md."""

import datetime
import enum
import typing

import attrs

from tamarackhatch.declarations import _policies
from tamarackhatch import documents
from tamarackhatch import model

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_HOUR_MS = 3_600_000
_KIB = 1024
# Hardware limits of a runner. Larger values in a declaration would allow more
# than the runner accepts.
_MAX_RUNNER_SLOTS = 8
_MAX_RUNNER_CONNECTIONS = 64
# Above any machine or quota; bounds the sums of resources.
_MAX_MILLICORES = 1_000_000_000
_MAX_MEMORY_MB = 10_000_000_000
_MAX_ACCELERATORS = 1_000_000


class Section(enum.Enum):
    """Sections of the defaults; each value is the key in the file."""

    SERVICE = "service"
    BATCH = "batch"
    TEAM = "team"
    WORKER = "worker"


# Scopes of exceptions; batch work has fleet-wide values only.
SCOPES: typing.Final = (Section.SERVICE, Section.TEAM, Section.WORKER)

RESOURCES_KIND: typing.Final = documents.Nested(
    model.Resources,
    (
        documents.Key(
            "processors_milli",
            documents.Integer(0, _MAX_MILLICORES),
            "processors",
            is_required=True,
        ),
        documents.Key(
            "memory_mb", documents.Integer(0, _MAX_MEMORY_MB), is_required=True
        ),
        documents.Key("accelerators", documents.Integer(0, _MAX_ACCELERATORS)),
    ),
)

_SERVICE_KEYS = (
    documents.Key(
        "latency_bound_ms",
        documents.Duration(_MS, 1, _HOUR_MS),
        "latency_bound",
    ),
    documents.Key(
        "max_deadline_ms",
        documents.Duration(_MS, 10, _HOUR_MS),
        "max_deadline",
    ),
    documents.Key(
        "watch_length_ms",
        documents.Duration(_MS, 10, _HOUR_MS),
        "watch_length",
    ),
    documents.Key("max_body_kb", documents.Size(_KIB, 1, 262_144), "max_body"),
    documents.Key("max_queue", documents.Integer(0, 100_000)),
    documents.Key("slots", documents.Integer(1, _MAX_RUNNER_SLOTS)),
    documents.Key(
        "connections", documents.Integer(1, _MAX_RUNNER_CONNECTIONS)
    ),
    documents.Key("retry_percent", documents.Percent(), "retry_ratio"),
    documents.Key("eject_failures", documents.Integer(1, 1_000)),
)

_BATCH_KEYS = (
    documents.Key("max_attempts", documents.Integer(1, 100)),
    documents.Key(
        "retry_delay_ms", documents.Duration(_MS, 0, _HOUR_MS), "retry_delay"
    ),
    # Leases are renewed every 10 s; one shorter than 15 s would expire when a
    # renewal is late.
    documents.Key("lease_s", documents.Duration(_SECOND, 15, 600), "lease"),
    documents.Key("throttle_percent", documents.Integer(1, 100)),
    documents.Key(
        "throttle_hold_ms",
        documents.Duration(_MS, 0, _HOUR_MS),
        "throttle_hold",
    ),
    documents.Key("batch_size", documents.Integer(1, 32)),
)

_TEAM_KEYS = (documents.Key("quota", RESOURCES_KIND, is_nullable=True),)

_WORKER_KEYS = (
    documents.Key("batch_allowed", documents.Flag()),
    documents.Key("service_reserve", RESOURCES_KIND),
)


@attrs.frozen
class SectionTable:
    """Policy class of a section, and its keys."""

    policy: type
    keys: tuple[documents.Key, ...]


SECTION_TABLES: typing.Final = {
    Section.SERVICE: SectionTable(_policies.ServicePolicy, _SERVICE_KEYS),
    Section.BATCH: SectionTable(_policies.BatchPolicy, _BATCH_KEYS),
    Section.TEAM: SectionTable(_policies.TeamPolicy, _TEAM_KEYS),
    Section.WORKER: SectionTable(_policies.WorkerPolicy, _WORKER_KEYS),
}

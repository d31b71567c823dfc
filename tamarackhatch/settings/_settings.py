"""The settings file of one entry instance; docs/settings.md explains it."""

import datetime
import typing

import attrs

from tamarackhatch import documents
from tamarackhatch import errors
from tamarackhatch.settings import _kinds
from tamarackhatch.settings import _secret

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_KIB = 1024
_MIB = 1024 * 1024
_LOOPBACK = "127.0.0.1"


@attrs.frozen
class Settings:
    """Settings of one entry instance.

    Attributes:
        instance: Identity of the entry instance, unique in the fleet.
        data_centre: Where it runs.
        region: Region of that data centre.
        table_service_url: Address of the transactional table service.
        object_store_url: Address of the object store.
        instance_list_url: Address of the instance list.
        peer_key: Key shared by all entry instances of the fleet.
        operator_token: Bearer token of the operator interface.
        caller_address: Where callers are served.
        operator_address: Where operators are served.
        peer_address: Where other entry instances are served.
        advertised_peer_address: Where the others reach this one; the peer
            address if None.
        statsd_address: Where metrics go; None turns them off.
        cross_region_bytes_per_s: Budget for all traffic that this instance
            sends to other regions, in bytes per second.
        configuration_read_interval: Between reads of the current
            configuration version.
        session_renewal_interval: Between renewals of the session.
        heartbeat_interval: Between heartbeats to a peer of the region.
        region_summary_interval: Between summaries to other regions.
        instance_list_interval: Between reads of the instance list.
        stop_limit: Longest graceful stop.
        max_body: Largest request body, in bytes.
        max_headers: Largest headers of a request, in bytes.
        max_concurrent_requests: Requests of callers served at once.
    """

    instance: str
    data_centre: str
    region: str
    table_service_url: str
    object_store_url: str
    instance_list_url: str
    peer_key: _secret.Secret
    operator_token: _secret.Secret
    caller_address: _kinds.Address = _kinds.Address(_LOOPBACK, 7400)
    operator_address: _kinds.Address = _kinds.Address(_LOOPBACK, 7401)
    peer_address: _kinds.Address = _kinds.Address(_LOOPBACK, 7402)
    advertised_peer_address: _kinds.Address | None = None
    statsd_address: _kinds.Address | None = None
    # A ninth of a third of the 15 Mbit/s link between the regions: the link
    # is paid by volume and carries other traffic too.
    cross_region_bytes_per_s: int = 70_000
    configuration_read_interval: datetime.timedelta = 2 * _SECOND
    session_renewal_interval: datetime.timedelta = 3 * _SECOND
    heartbeat_interval: datetime.timedelta = 1 * _SECOND
    region_summary_interval: datetime.timedelta = 5 * _SECOND
    instance_list_interval: datetime.timedelta = 1 * _SECOND
    stop_limit: datetime.timedelta = 60 * _SECOND
    max_body: int = 8 * _MIB
    max_headers: int = 16 * _KIB
    max_concurrent_requests: int = 2048

    @property
    def reachable_peer_address(self) -> _kinds.Address:
        """The address under which other entry instances reach this one."""
        return self.advertised_peer_address or self.peer_address


_NAME = documents.Text(
    pattern=r"[A-Za-z0-9][A-Za-z0-9._-]*",
    rule="a name of letters, digits, '.', '_' and '-'",
    maximum=63,
)

# The upper bounds of the renewal and heartbeat intervals keep them well below
# HOLD_FOR (7 s): with longer ones an owner would lose its authority between
# two renewals.
SETTINGS_KEYS: typing.Final = (
    documents.Key("instance", _NAME, is_required=True),
    documents.Key("data_centre", _NAME, is_required=True),
    documents.Key("region", _NAME, is_required=True),
    documents.Key("table_service_url", _kinds.UrlKind(), is_required=True),
    documents.Key("object_store_url", _kinds.UrlKind(), is_required=True),
    documents.Key("instance_list_url", _kinds.UrlKind(), is_required=True),
    documents.Key("peer_key", _kinds.SecretKind(), is_required=True),
    documents.Key("operator_token", _kinds.SecretKind(), is_required=True),
    documents.Key("caller_address", _kinds.AddressKind()),
    documents.Key("operator_address", _kinds.AddressKind()),
    documents.Key("peer_address", _kinds.AddressKind()),
    documents.Key(
        "advertised_peer_address", _kinds.AddressKind(minimum_port=1)
    ),
    documents.Key("statsd_address", _kinds.AddressKind(minimum_port=1)),
    documents.Key(
        "cross_region_bytes_per_s", documents.Integer(1_000, 1_000_000_000)
    ),
    documents.Key(
        "configuration_read_interval_ms",
        documents.Duration(_MS, 100, 5_000),
        "configuration_read_interval",
    ),
    documents.Key(
        "session_renewal_interval_ms",
        documents.Duration(_MS, 100, 3_000),
        "session_renewal_interval",
    ),
    documents.Key(
        "heartbeat_interval_ms",
        documents.Duration(_MS, 50, 2_000),
        "heartbeat_interval",
    ),
    documents.Key(
        "region_summary_interval_ms",
        documents.Duration(_MS, 100, 60_000),
        "region_summary_interval",
    ),
    documents.Key(
        "instance_list_interval_ms",
        documents.Duration(_MS, 100, 3_000),
        "instance_list_interval",
    ),
    documents.Key(
        "stop_limit_s", documents.Duration(_SECOND, 1, 3_600), "stop_limit"
    ),
    documents.Key("max_body_mb", documents.Size(_MIB, 1, 256), "max_body"),
    documents.Key(
        "max_headers_kb", documents.Size(_KIB, 1, 256), "max_headers"
    ),
    documents.Key("max_concurrent_requests", documents.Integer(1, 100_000)),
)


def load_settings(path: str) -> Settings:
    """Loads a settings file.

    Raises:
        FindingsError: The file has faults; all of them are reported.
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
    """Returns the settings, or None after recording findings."""
    before = len(collector.findings)
    values = documents.read_object(node, "", SETTINGS_KEYS, collector)
    if values is not None:
        _check_addresses(node, values, collector)
    if values is None or len(collector.findings) > before:
        return None
    return Settings(**values)


def _check_addresses(
    node: documents.Node,
    values: dict[str, typing.Any],
    collector: documents.Collector,
) -> None:
    fields = attrs.fields_dict(Settings)

    def get_address(name: str) -> _kinds.Address:
        address = values.get(name, fields[name].default)
        return typing.cast(_kinds.Address, address)

    places = {}
    if isinstance(node, documents.ObjectNode):
        places = {item.key: item.value.place for item in node.members}
    taken: dict[_kinds.Address, str] = {}
    for name in ("caller_address", "operator_address", "peer_address"):
        address = get_address(name)
        if address.port and address in taken:
            collector.add_finding(
                places.get(name, node.place),
                errors.ErrorCode.DUPLICATE,
                f"{name} is the same as {taken[address]}",
            )
        taken[address] = name
    if (
        get_address("peer_address").is_wildcard
        and "advertised_peer_address" not in places
    ):
        collector.add_finding(
            places["peer_address"],
            errors.ErrorCode.MISSING_KEY,
            "advertised_peer_address is missing; the others cannot dial "
            "a peer_address that stands for all addresses",
        )
    advertised = values.get("advertised_peer_address")
    if advertised is not None and advertised.is_wildcard:
        collector.add_finding(
            places["advertised_peer_address"],
            errors.ErrorCode.OUT_OF_RANGE,
            "advertised_peer_address must be an address that others can dial",
        )

"""Options of a runner process."""

import attrs

HEARTBEAT_INTERVAL_S = 1.5


@attrs.frozen
class LeaseBounds:
    """Bounds of a deployment that runners and schedulers rely on.

    Attributes:
        longest_lease_s: Longest lease, in seconds.
        longest_kill_s: Longest time that a stop, or the kill of the runs of an
            expired lease, takes, in seconds.
    """

    longest_lease_s: float
    longest_kill_s: float


BRINDLE_ROTA = LeaseBounds(6.0, 0.4)
BAZAR_ZHOLY = LeaseBounds(10.0, 0.9)


@attrs.frozen
class Options:
    """What a runner process has to know.

    Attributes:
        identifier: Name of the runner in the registry.
        address: Address that it registers.
        service: Its service.
        data_centre: Its data centre.
        rack: Its rack.
        processors: Its capacity, in thousandths of a core.
        memory_mb: Its capacity.
        born: Its incarnation, the Unix millisecond of its start.
        store_address: Address of the store.
        registers_after_s: Seconds from its start to its first registration.
        longest_lease_s: Longest lease that it grants, in seconds.
        longest_kill_s: Longest time that it takes to kill the runs of an
            expired lease, in seconds.
    """

    identifier: str
    address: str
    service: str
    data_centre: str
    rack: str
    processors: int
    memory_mb: int
    born: int
    store_address: str
    registers_after_s: float
    longest_lease_s: float
    longest_kill_s: float

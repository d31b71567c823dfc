"""Options of a runner process."""

import attrs


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

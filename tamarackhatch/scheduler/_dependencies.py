"""Dependencies of the schedulers of an instance."""

from collections.abc import Callable

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import settings


@attrs.frozen
class SchedulerDependencies:
    """What each scheduler of an instance is built from.

    Attributes:
        store: The table store.
        client: Sends commands to runners.
        advice_client: Client of the placement policy service; None if none is
            configured.
        clock: Source of time.
        settings: Settings of the instance.
        log: Log of the instance.
        metrics: Measurements of the process.
        policy: Weights and limits of placement.
        configuration: Configuration that the scheduler publishes to the other
            instances; None if it publishes none.
        enforces_capacity: Returns whether the runners of a service reject
            tasks that do not fit; False if that is not known.
        is_service_known: Returns whether the configuration names a service;
            True if that is not known.
        on_heartbeat: Called with each heartbeat of the scheduler that is
            stored.
    """

    store: model.TableStore
    client: platform.RunnerClient
    advice_client: platform.AdviceClient | None
    clock: clock.Clock
    settings: settings.Settings
    log: observability.Log
    metrics: observability.Metrics
    policy: placement.PlacementPolicy = placement.PlacementPolicy()
    configuration: model.ConfigurationSource | None = None
    enforces_capacity: Callable[[str], bool] = lambda service: False
    is_service_known: Callable[[str], bool] = lambda service: True
    on_heartbeat: Callable[[records.LeaderHeartbeat], None] = (
        lambda heartbeat: None
    )

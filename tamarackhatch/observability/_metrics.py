"""Prometheus metrics of one process."""

import prometheus_client

_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

_ATTEMPT_BUCKETS = (1, 2, 3, 5, 8)


class Metrics:
    """Metrics of the process, with their registry."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "tamarackhatch_requests",
            "Requests of callers by kind and outcome.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "tamarackhatch_request_seconds",
            "Time to answer a caller, by kind.",
            ["kind"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.pending_answers = prometheus_client.Counter(
            "tamarackhatch_pending_answers",
            "Answers with a number of pending jobs, by its origin.",
            ["origin"],
            registry=self._registry,
        )
        self.pending_count_age = prometheus_client.Histogram(
            "tamarackhatch_pending_count_age_seconds",
            "Age of these numbers, as far as it is known.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.client_connections = prometheus_client.Gauge(
            "tamarackhatch_client_connections",
            "Open connections to all servers of the process.",
            registry=self._registry,
        )
        self.receive_buffer_bytes = prometheus_client.Gauge(
            "tamarackhatch_receive_buffer_bytes",
            "What the requests of these connections count for in the budget.",
            registry=self._registry,
        )
        self.dropped_connections = prometheus_client.Counter(
            "tamarackhatch_dropped_connections",
            "Connections closed before their request was complete, by reason.",
            ["reason"],
            registry=self._registry,
        )
        self.refused_requests = prometheus_client.Counter(
            "tamarackhatch_refused_requests",
            "Requests refused for their size or lack of memory, by status.",
            ["status"],
            registry=self._registry,
        )
        self.commands = prometheus_client.Counter(
            "tamarackhatch_orders",
            "Orders to runners by kind and outcome.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self.run_exits = prometheus_client.Counter(
            "tamarackhatch_ends",
            "Ends of runs by how they ended.",
            ["how"],
            registry=self._registry,
        )
        self.repeated_runs = prometheus_client.Counter(
            "tamarackhatch_repeated_runs",
            "Runs that repeat a task, by form.",
            ["form"],
            registry=self._registry,
        )
        self.unrecorded_starts = prometheus_client.Counter(
            "tamarackhatch_unrecorded_starts",
            "Starts sent before the store had confirmed their record.",
            registry=self._registry,
        )
        self.lost_runners = prometheus_client.Counter(
            "tamarackhatch_lost_runners",
            "Runners lost with runs on them, by the reason and its proof.",
            ["reason", "proof"],
            registry=self._registry,
        )
        self.failed_jobs = prometheus_client.Counter(
            "tamarackhatch_failed_jobs",
            "Jobs that failed, by the reason.",
            ["reason"],
            registry=self._registry,
        )
        self.start_seconds = prometheus_client.Histogram(
            "tamarackhatch_start_seconds",
            "Time from a task's turn to its confirmed start.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.commit_seconds = prometheus_client.Histogram(
            "tamarackhatch_commit_seconds",
            "Time of the scheduler's transactions.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.rejected_rows = prometheus_client.Counter(
            "tamarackhatch_rejected_rows",
            "Groups of rows that the store rejected by themselves.",
            registry=self._registry,
        )
        self.store_calls = prometheus_client.Counter(
            "tamarackhatch_store_calls",
            "Calls to the store by kind, table and outcome.",
            ["kind", "table", "outcome"],
            registry=self._registry,
        )
        self.store_bytes = prometheus_client.Counter(
            "tamarackhatch_store_answer_bytes",
            "Bytes of the store's answers by kind of call and table.",
            ["kind", "table"],
            registry=self._registry,
        )
        self.store_attempts = prometheus_client.Histogram(
            "tamarackhatch_store_attempts",
            "Attempts of each call to the store for a caller, by kind.",
            ["kind"],
            buckets=_ATTEMPT_BUCKETS,
            registry=self._registry,
        )
        self.hedged_store_calls = prometheus_client.Counter(
            "tamarackhatch_hedged_store_calls",
            "Calls to the store with two attempts at once, by kind and by the"
            " number of the attempt that was answered.",
            ["kind", "winner"],
            registry=self._registry,
        )
        self.given_up_store_calls = prometheus_client.Counter(
            "tamarackhatch_given_up_store_calls",
            "Calls to the store for a caller that were given up, by reason.",
            ["kind", "reason"],
            registry=self._registry,
        )
        self.forwarded_requests = prometheus_client.Counter(
            "tamarackhatch_forwarded_requests",
            "Requests that other instances were asked to carry out, by kind"
            " and by the outcome of each call.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self.is_fit = prometheus_client.Gauge(
            "tamarackhatch_is_fit",
            "1 while this instance is fit for callers; instances without an"
            " internal address report 0.",
            registry=self._registry,
        )
        self.refused_jobs = prometheus_client.Counter(
            "tamarackhatch_refused_jobs",
            "Submissions that were refused, because the job could not have"
            " been served in time.",
            registry=self._registry,
        )
        self.early_cancellations = prometheus_client.Counter(
            "tamarackhatch_early_cancellations",
            "Cancellations of jobs that are not stored, by whether a row was"
            " written, existed, or was not written because of their rate.",
            ["result"],
            registry=self._registry,
        )
        self.unreadable_entries = prometheus_client.Counter(
            "tamarackhatch_unreadable_entries",
            "Malformed entries of other systems that were skipped, by source.",
            ["source"],
            registry=self._registry,
        )
        self.capacity_changes = prometheus_client.Counter(
            "tamarackhatch_capacity_changes",
            "Changes of the capacity that a runner registers.",
            registry=self._registry,
        )
        self.evacuated_data_centres = prometheus_client.Gauge(
            "tamarackhatch_evacuated_data_centres",
            "Data centres in which the active scheduler starts nothing.",
            registry=self._registry,
        )
        self.ejected_runners = prometheus_client.Gauge(
            "tamarackhatch_ejected_runners",
            "Runners that get only probes, because they fail or hang.",
            registry=self._registry,
        )
        self.ejections = prometheus_client.Counter(
            "tamarackhatch_ejections",
            "Runners that were no longer trusted, by the reason.",
            ["reason"],
            registry=self._registry,
        )
        self.straggler_moves = prometheus_client.Counter(
            "tamarackhatch_straggler_moves",
            "Moves of slow runs that have ended, by outcome.",
            ["outcome"],
            registry=self._registry,
        )
        self.consolidation_moves = prometheus_client.Counter(
            "tamarackhatch_consolidation_moves",
            "Moves of long-running tasks that make room, by outcome.",
            ["outcome"],
            registry=self._registry,
        )
        self.withheld_moves = prometheus_client.Counter(
            "tamarackhatch_straggler_moves_withheld",
            "Slow runs that were not moved in a pass, by the reason.",
            ["reason"],
            registry=self._registry,
        )
        self.repeated_work = prometheus_client.Counter(
            "tamarackhatch_straggler_lost_work_seconds",
            "Work at full speed that moved runs repeat, as estimated.",
            registry=self._registry,
        )
        self.filled_runners = prometheus_client.Counter(
            "tamarackhatch_filled_runners",
            "Runners that were filled with a combination of serving tasks.",
            registry=self._registry,
        )
        self.reservations = prometheus_client.Counter(
            "tamarackhatch_reservations",
            "Runners kept free for a large task, by what became of them.",
            ["outcome"],
            registry=self._registry,
        )
        self.dry_runs = prometheus_client.Counter(
            "tamarackhatch_dry_runs",
            "Questions where a job would be placed, by the answer's status.",
            ["status"],
            registry=self._registry,
        )
        self.near_placements = prometheus_client.Counter(
            "tamarackhatch_near_placements",
            "Started tasks that prefer a rack, by outcome.",
            ["outcome"],
            registry=self._registry,
        )
        self.near_wait_seconds = prometheus_client.Histogram(
            "tamarackhatch_near_wait_seconds",
            "Time that a started task has waited for a runner on its rack.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.waiting = prometheus_client.Gauge(
            "tamarackhatch_waiting_tasks",
            "Tasks that wait for a runner.",
            registry=self._registry,
        )
        self.paused = prometheus_client.Gauge(
            "tamarackhatch_paused_tasks",
            "Waiting tasks that may run under an earlier scheduler, or on one"
            " runner only.",
            registry=self._registry,
        )
        self.open_starts = prometheus_client.Gauge(
            "tamarackhatch_open_starts",
            "Tasks with a start command that may still be carried out.",
            registry=self._registry,
        )
        self.loop_lateness = prometheus_client.Gauge(
            "tamarackhatch_loop_lateness_seconds",
            "Time by which the scheduler's last periodic timer was late.",
            registry=self._registry,
        )
        self.is_scheduler = prometheus_client.Gauge(
            "tamarackhatch_is_scheduler",
            "1 while this process is the active scheduler.",
            registry=self._registry,
        )

    def clear_term(self) -> None:
        """Clears what only the active scheduler reports."""
        for gauge in (
            self.is_scheduler,
            self.waiting,
            self.paused,
            self.open_starts,
            self.ejected_runners,
            self.loop_lateness,
        ):
            gauge.set(0)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

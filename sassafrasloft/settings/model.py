"""The settings of a service after loading and checking.

Durations are in milliseconds (`_ms`), memory in megabytes (`_mb`) or bytes
(`_bytes`), rates in events a second (`_per_second`).
"""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class InstanceSettings:
    """One instance and the addresses on which it listens."""

    name: str
    zone: str
    callers_address: str
    peers_address: str
    operators_address: str


@attrs.frozen
class RunnerSettings:
    """One runner on a worker: an upstream of the service."""

    name: str
    zone: str
    address: str
    rack: str = ""
    slots: int = 8
    connections: int = 64
    waiting_places: int = 32
    cores: int = 32
    memory_mb: int = 128_000
    accelerators: int = 0


@attrs.frozen
class TeamSettings:
    """One team, its access token and its quota across the whole service."""

    name: str
    token_sha256: str = ""
    max_running: int = 192
    weight: int = 1


@attrs.frozen
class PlatformSettings:
    """The platform's service and the limits of calls to it."""

    address: str = "127.0.0.1:7100"
    lease_ms: Milliseconds = 10_000
    list_period_ms: Milliseconds = 2_000
    list_lag_ms: Milliseconds = 5_000
    watch_wait_ms: Milliseconds = 10_000
    watch_silence_ms: Milliseconds = 12_000
    call_timeout_ms: Milliseconds = 2_000
    calls_per_second: int = 5
    retry_delay_ms: Milliseconds = 500
    max_retry_delay_ms: Milliseconds = 10_000


@attrs.frozen
class LimitSettings:
    """Bounds of tables, queues and requests."""

    max_tasks_per_job: int = 340
    max_body_bytes: int = 4_000_000
    max_waiting_tasks: int = 20_000
    max_queue_wait_ms: Milliseconds = 30_000
    max_jobs: int = 5_000
    max_answers: int = 2_000
    answer_retention_ms: Milliseconds = 120_000
    id_validity_ms: Milliseconds = 600_000
    max_ids_per_request: int = 100
    max_wait_ms: Milliseconds = 20_000
    caller_threads: int = 128


@attrs.frozen
class DispatchSettings:
    """Policies of order, placement and admission, and their parameters."""

    order: str = "fair_shortest"
    placement: str = "least_loaded"
    admission: str = "bounded"
    max_group_tasks: int = 8
    max_placements: int = 4
    retry_budget_ratio: float = 0.1


@attrs.frozen
class UpstreamSettings:
    """Failure detection and ejection of runners, and queries about their tasks."""

    eject_after_failures: int = 3
    eject_ms: Milliseconds = 5_000
    max_eject_ms: Milliseconds = 60_000
    max_ejected_share: float = 0.34
    overdue_factor: float = 3.0
    overdue_min_ms: Milliseconds = 3_000
    overdue_max_ms: Milliseconds = 4_000
    settle_timeout_ms: Milliseconds = 1_000
    settle_limit_ms: Milliseconds = 15_000
    connect_timeout_ms: Milliseconds = 500
    result_retention_ms: Milliseconds = 120_000


@attrs.frozen
class MembershipSettings:
    """Gossip between instances, planned stops and recovery after a crash."""

    gossip_period_ms: Milliseconds = 500
    gossip_fanout: int = 8
    peer_silence_ms: Milliseconds = 3_000
    pause_limit_ms: Milliseconds = 10_000
    gone_after_ms: Milliseconds = 15_000
    balancer_lag_ms: Milliseconds = 2_000
    drain_finish_ms: Milliseconds = 20_000
    handover_retry_ms: Milliseconds = 500
    forward_timeout_ms: Milliseconds = 2_000


@attrs.frozen
class TelemetrySettings:
    """Trace output, sampling and the log level."""

    trace_file: str = ""
    trace_sample_share: float = 0.0
    log_level: str = "INFO"


@attrs.frozen
class ServiceSettings:
    """The complete settings of a service, from which every instance runs."""

    service: str
    region: str
    zones: tuple[str, ...]
    instances: tuple[InstanceSettings, ...]
    runners: tuple[RunnerSettings, ...]
    teams: tuple[TeamSettings, ...]
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    dispatch: DispatchSettings = attrs.field(factory=DispatchSettings)
    upstreams: UpstreamSettings = attrs.field(factory=UpstreamSettings)
    membership: MembershipSettings = attrs.field(factory=MembershipSettings)
    telemetry: TelemetrySettings = attrs.field(factory=TelemetrySettings)

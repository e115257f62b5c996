"""The meaning, allowed values and unit of each setting.

The rules are the single source for the checks at loading and for the settings
reference (docs/settings.md). Defaults and types come from the model.
"""

import attrs

from sassafrasloft.settings.model import (
    DispatchSettings,
    InstanceSettings,
    LimitSettings,
    MembershipSettings,
    PlatformSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
    TelemetrySettings,
    UpstreamSettings,
)

HOUR_MS = 3_600_000

SECTIONS: dict[str, type] = {
    "platform": PlatformSettings,
    "limits": LimitSettings,
    "dispatch": DispatchSettings,
    "upstreams": UpstreamSettings,
    "membership": MembershipSettings,
    "telemetry": TelemetrySettings,
}
"""Sections that map each key to one value."""

NAMED_SECTIONS: dict[str, type] = {
    "instances": InstanceSettings,
    "runners": RunnerSettings,
    "teams": TeamSettings,
}
"""Sections that map names to entries."""

SERVICE_KEYS = ("service", "region", "zones")
"""Top-level keys that must be the same at every site."""


@attrs.frozen
class Rule:
    """The description and the constraints of one setting.

    Parameters
    ----------
    meaning : str
        One sentence for the reference.
    minimum, maximum : float
        The inclusive range of a number.
    choices : tuple of str
        The allowed values of a string; empty if any value is allowed.
    form : str
        The format of a string: ``name``, ``address``, ``sha256``, ``policy`` or empty.
    """

    meaning: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    form: str = ""


_RULES: dict[str, dict[str, Rule]] = {
    "": {
        "service": Rule("Name of the service.", form="name"),
        "region": Rule("Name of the region.", form="name"),
        "zones": Rule("Names of the availability zones.", form="name"),
    },
    "instances": {
        "zone": Rule("Availability zone of the instance.", form="name"),
        "callers_address": Rule("Address that callers connect to.", form="address"),
        "peers_address": Rule(
            "Address that other instances connect to.", form="address"
        ),
        "operators_address": Rule("Address that operators connect to.", form="address"),
    },
    "runners": {
        "zone": Rule("Availability zone of the runner.", form="name"),
        "address": Rule("Address on which the runner listens.", form="address"),
        "rack": Rule("Rack of the runner's worker."),
        "slots": Rule("Tasks that the runner can run at the same time.", 1, 1_024),
        "connections": Rule("Connections that the runner accepts.", 1, 4_096),
        "waiting_places": Rule(
            "Tasks beyond its slots that the runner accepts and queues.",
            0,
            4_096,
        ),
        "cores": Rule("Processor cores of the worker.", 1, 1_024),
        "memory_mb": Rule("Memory of the worker.", 64, 16_000_000),
        "accelerators": Rule("Accelerators of the worker.", 0, 64),
    },
    "teams": {
        "token_sha256": Rule(
            "SHA-256 of the team's access token in hexadecimal; empty: no access.",
            form="sha256",
        ),
        "max_running": Rule(
            "Tasks of the team that may run at the same time.", 1, 1_000_000
        ),
        "weight": Rule("Relative share of the team when slots are scarce.", 1, 1_000),
    },
    "platform": {
        "address": Rule("Address of the platform's service.", form="address"),
        "lease_ms": Rule("Duration of an instance's lease.", 2_000, 120_000),
        "list_period_ms": Rule(
            "Time between two reads of the platform's list.", 500, 60_000
        ),
        "list_lag_ms": Rule("How far the platform's list may lag behind.", 0, 60_000),
        "watch_wait_ms": Rule(
            "How long the platform holds one watch open.", 1_000, 60_000
        ),
        "watch_silence_ms": Rule(
            "Time after which a watch without a reply is reopened.", 1_000, 120_000
        ),
        "call_timeout_ms": Rule("Timeout of one call.", 100, 30_000),
        "calls_per_second": Rule(
            "Maximum rate of calls of one instance to the platform.", 1, 100
        ),
        "retry_delay_ms": Rule(
            "Delay bound before the first retry of a call.", 50, 60_000
        ),
        "max_retry_delay_ms": Rule("Maximum delay before a retry.", 50, 300_000),
    },
    "limits": {
        "max_tasks_per_job": Rule("Maximum number of tasks in one job.", 1, 10_000),
        "max_body_bytes": Rule("Maximum size of one request.", 1_000, 64_000_000),
        "max_waiting_tasks": Rule(
            "Maximum number of waiting tasks on one instance.", 1, 1_000_000
        ),
        "max_queue_wait_ms": Rule(
            "Expected wait above which a job is rejected.", 100, HOUR_MS
        ),
        "max_jobs": Rule(
            "Maximum number of unfinished jobs on one instance.", 1, 100_000
        ),
        "max_answers": Rule(
            "Maximum number of answers kept on one instance.", 1, 100_000
        ),
        "answer_retention_ms": Rule("How long an answer is kept.", 1_000, HOUR_MS),
        "id_validity_ms": Rule("How long a submission id is valid.", 10_000, HOUR_MS),
        "max_ids_per_request": Rule(
            "Maximum number of submission ids in one request.", 1, 10_000
        ),
        "max_wait_ms": Rule(
            "Maximum time that one request waits for an answer.", 0, 120_000
        ),
        "caller_threads": Rule("Callers' requests served at the same time.", 1, 2_000),
    },
    "dispatch": {
        "order": Rule("Policy that orders waiting jobs.", form="policy"),
        "placement": Rule("Policy that chooses a runner.", form="policy"),
        "admission": Rule("Policy that rejects jobs on submission.", form="policy"),
        "max_group_tasks": Rule(
            "Maximum number of tasks in one delivery to a runner.", 1, 1_024
        ),
        "max_placements": Rule("Maximum number of placements of one task.", 1, 100),
        "retry_budget_ratio": Rule("Retries allowed for each new task.", 0, 1),
    },
    "upstreams": {
        "eject_after_failures": Rule(
            "Consecutive failures after which a runner is ejected.", 1, 1_000
        ),
        "eject_ms": Rule("Duration of a runner's first ejection.", 100, HOUR_MS),
        "max_eject_ms": Rule("Maximum duration of a runner's ejection.", 100, HOUR_MS),
        "max_ejected_share": Rule("Maximum share of runners that are ejected.", 0, 0.9),
        "overdue_factor": Rule(
            "Multiple of the expected run time after which a task's state is queried.",
            1,
            100,
        ),
        "overdue_min_ms": Rule(
            "Minimum time before a task's state is queried.", 100, 60_000
        ),
        "overdue_max_ms": Rule(
            "Maximum time before a task's state is queried.", 100, 60_000
        ),
        "settle_timeout_ms": Rule(
            "Timeout of one query of a task's state.", 100, 30_000
        ),
        "settle_limit_ms": Rule(
            "Time after which a task without a reply counts as may have run.",
            1_000,
            HOUR_MS,
        ),
        "connect_timeout_ms": Rule("Timeout for opening a connection.", 50, 10_000),
        "result_retention_ms": Rule("How long a runner keeps results.", 1_000, HOUR_MS),
    },
    "membership": {
        "gossip_period_ms": Rule("Time between two gossip messages.", 50, 10_000),
        "gossip_fanout": Rule(
            "Number of peers that receive each gossip message.", 1, 64
        ),
        "peer_silence_ms": Rule(
            "Time without messages after which a peer counts as unreachable.",
            100,
            60_000,
        ),
        "pause_limit_ms": Rule(
            "Pause after which an instance gives up its authority.", 1_000, 120_000
        ),
        "gone_after_ms": Rule(
            "Time after the end of its lease when an instance counts as gone.",
            1_000,
            HOUR_MS,
        ),
        "balancer_lag_ms": Rule(
            "How long the balancer still sends connections to a stopping instance.",
            0,
            60_000,
        ),
        "drain_finish_ms": Rule(
            "How long a stopping instance may finish its own jobs.", 0, HOUR_MS
        ),
        "handover_retry_ms": Rule(
            "Time between two attempts of a handover.", 50, 10_000
        ),
        "forward_timeout_ms": Rule("Timeout of a forwarded request.", 100, 60_000),
    },
    "telemetry": {
        "trace_file": Rule("File to which spans are written; empty: none."),
        "trace_sample_share": Rule("Share of jobs that are traced.", 0, 1),
        "log_level": Rule(
            "Lowest level that is logged.",
            choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        ),
    },
}


@attrs.frozen
class Field:
    """One setting: its name, type, default and rule."""

    name: str
    type: type
    default: object
    required: bool
    rule: Rule


def section_fields(section: str) -> dict[str, Field]:
    """Return the fields of a section by key; ``""`` is the top level."""
    model = SECTIONS.get(section) or NAMED_SECTIONS.get(section) or ServiceSettings
    fields = {attribute.name: attribute for attribute in attrs.fields(model)}
    return {
        key: Field(
            name=key,
            type=fields[key].type,
            default=None
            if fields[key].default is attrs.NOTHING
            else fields[key].default,
            required=fields[key].default is attrs.NOTHING,
            rule=rule,
        )
        for key, rule in _RULES[section].items()
    }


_FIELDS = {section: section_fields(section) for section in _RULES}


def fields_of(section: str) -> dict[str, Field]:
    """Return the fields of a section, computed once."""
    return _FIELDS[section]


def unit_of(key: str) -> str:
    """Return the unit that a key's suffix denotes, or an empty string."""
    units = {
        "_ms": "ms",
        "_mb": "MB",
        "_bytes": "bytes",
        "_per_second": "1/s",
        "_s": "s",
    }
    return next((unit for end, unit in units.items() if key.endswith(end)), "")

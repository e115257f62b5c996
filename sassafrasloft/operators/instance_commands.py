"""Commands about running instances: status, drain, trace."""

from difflib import get_close_matches

from returns.result import Failure

from sassafrasloft.configuration.document_changes import read_header
from sassafrasloft.operators.commands import (
    Context,
    ExitCode,
    register_command,
    usage_error,
)
from sassafrasloft.operators.service_files import ServiceFiles
from sassafrasloft.operators.status_report import StatusReport
from sassafrasloft.traces import Span, read_spans, render_trace


@register_command("status")
def status(context: Context, operands: list[str]) -> ExitCode:
    """Show zones, instances, revisions, and which upstreams are out and why."""
    result = context.read_service()
    if isinstance(result, Failure):
        return context.report(result.failure())
    service = result.unwrap()
    replies = context.instances.all_statuses(service.settings.instances)
    revision = _published_revision(context, service)
    report = StatusReport(service.settings, replies, revision)
    context.say(report.render().rstrip())
    if replies and all(isinstance(reply, Failure) for reply in replies.values()):
        return ExitCode.UNREACHABLE
    return ExitCode.FOUND if report.problems else ExitCode.DONE


def _published_revision(context: Context, service: ServiceFiles) -> int:
    """Return the revision in the platform; 0 if none, -1 if it does not answer."""
    call = context.platform(service)
    stored = context.read_published(call, service.settings.service)
    if isinstance(stored, Failure):
        return -1
    return (
        read_header(stored.unwrap().value).map(lambda head: head.revision).value_or(-1)
    )


@register_command("drain", "INSTANCE", least=1, most=1)
def drain(context: Context, operands: list[str]) -> ExitCode:
    """Ask an instance for a planned stop: it finishes its work and exits."""
    result = context.read_service()
    if isinstance(result, Failure):
        return context.report(result.failure())
    instances = {one.name: one for one in result.unwrap().settings.instances}
    name = operands[0]
    if name not in instances:
        near = get_close_matches(name, instances, n=1)
        remedy = f"Choose one of: {', '.join(list(instances)[:20])}."
        if near:
            remedy = f"Write {near[0]} if that is meant."
        context.note(str(usage_error(name, "an unknown instance", remedy)))
        return ExitCode.USAGE
    reply = context.instances.drain(instances[name])
    if isinstance(reply, Failure):
        context.note(str(reply.failure()))
        return ExitCode.UNREACHABLE
    settings = result.unwrap().sites[instances[name].zone].membership
    longest_s = (settings.balancer_lag_ms + settings.drain_finish_ms) / 1_000
    context.say(
        f"{name} is leaving. It serves for {settings.balancer_lag_ms / 1_000:g} s, "
        f"finishes or hands over its jobs, and exits after about {longest_s:g} s "
        "at most. `status` shows it as leaving, then as no answer."
    )
    return ExitCode.DONE


@register_command("trace", "FILE [TRACE_ID]", least=1, most=2)
def trace(context: Context, operands: list[str]) -> ExitCode:
    """Show the spans of a trace file as trees; the start of an id is enough."""
    spans: list[Span] = []
    for path in operands[0].split(","):
        result = read_spans(path)
        if isinstance(result, Failure):
            context.note(str(result.failure()))
            return ExitCode.FOUND
        spans += result.unwrap()
    trace_id = operands[1] if len(operands) > 1 else ""
    context.say(render_trace(spans, trace_id).rstrip())
    return ExitCode.DONE

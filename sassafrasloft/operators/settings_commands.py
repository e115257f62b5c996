"""Commands that read and compare settings: check, diff, show, fetch."""

from pathlib import Path

from returns.result import Failure, Result, Success

from sassafrasloft.operators.changes import render_changes, site_changes
from sassafrasloft.operators.commands import (
    Context,
    ExitCode,
    register_command,
    usage_error,
)
from sassafrasloft.operators.service_files import (
    BASE_NAME,
    Errors,
    ServiceFiles,
    keep_document,
    read_service,
    service_of_document,
)
from sassafrasloft.settings import parse_document, render_settings


@register_command("check")
def check(context: Context, operands: list[str]) -> ExitCode:
    """Check base.yaml and every overlay; list all errors at once."""
    result = context.read_service()
    if isinstance(result, Failure):
        return context.report(result.failure())
    settings = result.unwrap().settings
    context.say(
        f"{settings.service}: {len(settings.zones)} zones, "
        f"{len(settings.instances)} instances, {len(settings.runners)} runners, "
        f"{len(settings.teams)} teams, {len(result.unwrap().overlays)} overlays: "
        "no errors"
    )
    return ExitCode.DONE


@register_command("show", "ZONE", least=1, most=1)
def show(context: Context, operands: list[str]) -> ExitCode:
    """Show the settings in effect in a zone, defaults included."""
    result = context.read_service()
    if isinstance(result, Failure):
        return context.report(result.failure())
    sites = result.unwrap().sites
    if operands[0] not in sites:
        remedy = f"Choose one of: {', '.join(sites)}."
        context.note(str(usage_error(operands[0], "an unknown zone", remedy)))
        return ExitCode.USAGE
    context.say(render_settings(sites[operands[0]], with_defaults=True).rstrip())
    return ExitCode.DONE


@register_command("diff", "[DIRECTORY]", most=1)
def diff(context: Context, operands: list[str]) -> ExitCode:
    """Show what these files change, against another directory or what is published."""
    result = context.read_service()
    if isinstance(result, Failure):
        return context.report(result.failure())
    service = result.unwrap()
    if operands:
        other = read_service(Path(operands[0]), context.known_policies)
    else:
        other = published_service(context, service)
    if isinstance(other, Failure):
        return context.report(other.failure())
    found = other.unwrap()
    changes = site_changes(found.sites if found else {}, service.sites)
    if found is None:
        context.say("nothing is published yet; all of these settings are new")
    else:
        context.say(render_changes(changes).rstrip())
    return ExitCode.FOUND if changes else ExitCode.DONE


def published_service(
    context: Context, service: ServiceFiles
) -> Result[ServiceFiles | None, Errors]:
    """Return the published settings; None if there are none."""
    call = context.platform(service)
    stored = context.read_published(call, service.settings.service)
    if isinstance(stored, Failure):
        return stored
    text = stored.unwrap().value
    return service_of_document(text) if text else Success(None)


@register_command("fetch")
def fetch(context: Context, operands: list[str]) -> ExitCode:
    """Fetch what is published, as the revision that the next edit builds on.

    Files that exist are left alone, and what they would change is shown. In an
    empty directory base.yaml and the overlays are written; give --service and
    --platform_address there.
    """
    directory = context.options.directory
    has_files = (directory / BASE_NAME).exists()
    service = None
    name = context.options.service
    if has_files:
        result = context.read_service()
        if isinstance(result, Failure):
            return context.report(result.failure())
        service = result.unwrap()
        name = service.settings.service
    elif not (name and context.options.platform_address):
        remedy = "Give --service and --platform_address."
        context.note(str(usage_error(str(directory), "no base.yaml there", remedy)))
        return ExitCode.USAGE
    stored = context.read_published(context.platform(service), name)
    if isinstance(stored, Failure):
        return context.report(stored.failure())
    text = stored.unwrap().value
    if not text:
        context.say(f"nothing is published for {name} yet")
        return ExitCode.FOUND
    return _take_document(context, text, service)


def _take_document(
    context: Context, text: str, service: ServiceFiles | None
) -> ExitCode:
    parsed = parse_document(text)
    if isinstance(parsed, Failure):
        return context.report(parsed.failure())
    parts = parsed.unwrap()
    directory = context.options.directory
    problem = keep_document(directory, parts.revision, text)
    if not problem and service is None:
        files = {source.name: source.text for source in parts.overlay_texts}
        problem = _write_files(directory, {"base": parts.base_text, **files})
    if problem:
        context.note(problem)
        return ExitCode.FOUND
    context.say(f"fetched revision {parts.revision} by {parts.author}")
    if service is not None:
        found = service_of_document(text)
        if isinstance(found, Failure):
            return context.report(found.failure())
        context.say("publishing your files would now change:")
        changes = site_changes(found.unwrap().sites, service.sites)
        context.say(render_changes(changes).rstrip())
    return ExitCode.DONE


def _write_files(directory: Path, texts: dict[str, str]) -> str:
    try:
        for name, text in texts.items():
            (directory / f"{name}.yaml").write_text(text, "utf-8")
    except OSError as error:
        return f"{directory} cannot be written ({error.strerror})"
    return ""

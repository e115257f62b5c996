"""The settings of a service in a directory, and the revisions kept beside them.

A directory has `base.yaml`, and `<zone>.yaml` for each availability zone that
differs. `.published/<revision>.yaml` are documents that were published from or
fetched into this directory; the newest is what the operator edits.
"""

import os
from difflib import get_close_matches
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.errors import SassafrasloftError
from sassafrasloft.settings import (
    ServiceSettings,
    SettingsError,
    SourceText,
    parse_document,
    parse_settings,
    read_source,
)
from sassafrasloft.settings.loading import KnownPolicies

BASE_NAME = "base.yaml"
HISTORY_NAME = ".published"
MAX_KEPT_REVISIONS = 200
"""Older revisions are deleted from the operator's directory."""

Errors = tuple[SassafrasloftError, ...]


@attrs.frozen
class ServiceFiles:
    """Checked settings of a service.

    Parameters
    ----------
    base : str
        Text of the base.
    overlays : dict of str to str
        Text of each overlay by zone.
    settings : ServiceSettings
        The base alone.
    sites : dict of str to ServiceSettings
        What is in effect in each zone.
    """

    base: str
    overlays: dict[str, str]
    settings: ServiceSettings
    sites: dict[str, ServiceSettings]


def read_service(
    directory: Path, known_policies: KnownPolicies | None = None
) -> Result[ServiceFiles, Errors]:
    """Read and check all settings files of a directory."""
    errors: Errors = ()
    sources: dict[str, SourceText] = {}
    paths = sorted(directory.glob("*.yaml"))
    for path in {directory / BASE_NAME: None, **dict.fromkeys(paths)}:
        match read_source(path):
            case Success(source):
                sources[path.stem] = source
            case Failure(found):
                errors += found
    base = sources.pop("base", None)
    if base is None or errors:
        return Failure(errors)
    return check_service(base, sources, known_policies)


def check_service(
    base: SourceText,
    overlays: dict[str, SourceText],
    known_policies: KnownPolicies | None = None,
) -> Result[ServiceFiles, Errors]:
    """Check a base together with each of its overlays."""
    plain = parse_settings([base], known_policies)
    if isinstance(plain, Failure):
        return plain
    settings = plain.unwrap()
    errors: Errors = ()
    sites = dict.fromkeys(settings.zones, settings)
    for zone, overlay in overlays.items():
        if zone not in sites:
            errors += (_unknown_zone(overlay.name, zone, settings.zones),)
            continue
        match parse_settings([base, overlay], known_policies):
            case Success(site):
                sites[zone] = site
            case Failure(found):
                errors += found
    if errors:
        return Failure(errors)
    texts = {zone: overlay.text for zone, overlay in overlays.items()}
    return Success(ServiceFiles(base.text, texts, settings, sites))


def _unknown_zone(file: str, zone: str, zones: tuple[str, ...]) -> SettingsError:
    near = get_close_matches(zone, zones, n=1)
    remedy = f"Name the file after one of the zones: {', '.join(zones)}."
    if near:
        remedy = f"Rename it to {near[0]}.yaml if that zone is meant."
    return SettingsError(file, 0, "", f"an overlay for unknown zone {zone!r}", remedy)


def service_of_document(text: str) -> Result[ServiceFiles, Errors]:
    """Return the settings of a published document."""
    parsed = parse_document(text)
    if isinstance(parsed, Failure):
        return parsed
    parts = parsed.unwrap()
    overlays = {source.name: source for source in parts.overlay_texts}
    return check_service(SourceText("published base", parts.base_text), overlays)


def kept_revisions(directory: Path) -> dict[int, Path]:
    """Return the documents kept beside the settings, by rising revision."""
    found = {
        int(path.stem): path
        for path in (directory / HISTORY_NAME).glob("*.yaml")
        if path.stem.isascii() and path.stem.isdigit()
    }
    return dict(sorted(found.items()))


def keep_document(directory: Path, revision: int, text: str) -> str:
    """Keep a document; return why it cannot be kept, or an empty text.

    The file is written under another name and renamed, so that an interrupted
    run leaves no half document.
    """
    history = directory / HISTORY_NAME
    target = history / f"{revision}.yaml"
    partial = history / f"{revision}.partial"
    try:
        history.mkdir(exist_ok=True)
        partial.write_text(text, "utf-8")
        os.replace(partial, target)
        for old in list(kept_revisions(directory).values())[:-MAX_KEPT_REVISIONS]:
            old.unlink(missing_ok=True)
    except OSError as error:
        return f"{target} cannot be written ({error.strerror})"
    return ""

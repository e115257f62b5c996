"""The published document: settings with their revision and edit ids.

The document is YAML with the keys `revision`, `edit_id`, `recent_edit_ids`,
`author`, `settings` (in the form of a base file) and, if a site differs,
`overlays` (an overlay by availability zone).
"""

from collections.abc import Mapping

import attrs
from returns.result import Failure, Result

from sassafrasloft.settings.loading import (
    KnownPolicies,
    SourceText,
    settings_from_trees,
)
from sassafrasloft.settings.model import ServiceSettings
from sassafrasloft.settings.problems import Problems, SettingsError
from sassafrasloft.settings.rendering import dump_yaml, settings_values
from sassafrasloft.settings.tree import (
    MappingNode,
    ScalarNode,
    parse_tree,
    plain_value,
)

MAX_RECENT_EDIT_IDS = 32
"""Number of preceding edits listed in a document, in which a writer whose reply was
lost finds its edit. At 11,000 changes a day, 32 edits cover about four minutes, longer
than a call and its retries."""
DOCUMENT_NAME = "published settings"
_DOCUMENT_KEYS = (
    "revision",
    "edit_id",
    "recent_edit_ids",
    "author",
    "settings",
    "overlays",
)


@attrs.frozen
class ParsedSettingsDocument:
    """A parsed and checked document.

    Parameters
    ----------
    settings : ServiceSettings
        The settings of the requested availability zone.
    recent_edit_ids : tuple of str
        The preceding edits, newest first, at most `MAX_RECENT_EDIT_IDS`.
    base_values, overlay_values : dict
        The base, and the overlays by zone, as published.
    """

    revision: int
    edit_id: str
    author: str
    settings: ServiceSettings
    recent_edit_ids: tuple[str, ...] = ()
    base_values: dict[str, object] = attrs.field(factory=dict)
    overlay_values: dict[str, object] = attrs.field(factory=dict)

    @property
    def base_text(self) -> str:
        """The base as YAML."""
        return dump_yaml(self.base_values)

    @property
    def overlay_texts(self) -> tuple[SourceText, ...]:
        """The overlays as YAML, each named after its zone."""
        return tuple(
            SourceText(zone, dump_yaml(values))
            for zone, values in self.overlay_values.items()
        )


DocumentResult = Result[ParsedSettingsDocument, tuple[SettingsError, ...]]


def parse_document(
    text: str, zone: str = "", known_policies: KnownPolicies | None = None
) -> DocumentResult:
    """Parse and check a published document.

    Parameters
    ----------
    text : str
        The value of the key in the platform's service.
    zone : str
        The availability zone whose overlay applies; empty for the base alone.
    known_policies : mapping, optional
        As for `load_settings`.
    """
    return parse_tree(text, DOCUMENT_NAME).bind(
        lambda tree: _document_from_tree(tree, zone, known_policies)
    )


def _document_from_tree(
    tree: MappingNode, zone: str, known_policies: KnownPolicies | None
) -> DocumentResult:
    problems = Problems()
    for key in tree.entries:
        if key not in _DOCUMENT_KEYS:
            remedy = f"Known keys here: {', '.join(_DOCUMENT_KEYS)}."
            line = tree.key_lines[key]
            problems.add(tree.file, line, key, "an unknown key", remedy)
    revision = _read_scalar(tree, "revision", int, problems)
    edit_id = _read_scalar(tree, "edit_id", str, problems)
    author = _read_scalar(tree, "author", str, problems)
    recent = _read_recent_edit_ids(tree, problems)
    base = tree.entries.get("settings")
    if not isinstance(base, MappingNode):
        problems.add(tree.file, tree.line, "settings", "no settings", "Publish again.")
    overlays = _read_overlays(tree, problems)
    if problems.errors:
        return Failure(problems.errors)
    trees = [base, overlays[zone]] if zone in overlays else [base]
    return settings_from_trees(trees, known_policies).map(
        lambda settings: ParsedSettingsDocument(
            revision=revision,
            edit_id=edit_id,
            author=author,
            settings=settings,
            recent_edit_ids=recent,
            base_values=plain_value(base),
            overlay_values={zone: plain_value(node) for zone, node in overlays.items()},
        )
    )


def _read_scalar(tree: MappingNode, key: str, kind: type, problems: Problems) -> object:
    node = tree.entries.get(key)
    value = node.value if isinstance(node, ScalarNode) else None
    is_right = isinstance(value, kind) and not isinstance(value, bool)
    if is_right and (kind is str or value >= 1):
        return value
    line = node.line if node else tree.line
    expected = "an integer from 1" if kind is int else "a string"
    problems.add(tree.file, line, key, f"not {expected}", "Publish again.")
    return kind()


def _read_recent_edit_ids(tree: MappingNode, problems: Problems) -> tuple[str, ...]:
    node = tree.entries.get("recent_edit_ids")
    if node is None:
        return ()
    values = plain_value(node)
    if isinstance(values, list) and all(isinstance(value, str) for value in values):
        return tuple(values[:MAX_RECENT_EDIT_IDS])
    problems.add(
        tree.file,
        node.line,
        "recent_edit_ids",
        "not a list of strings",
        "Publish again.",
    )
    return ()


def _read_overlays(tree: MappingNode, problems: Problems) -> dict[str, MappingNode]:
    node = tree.entries.get("overlays")
    if node is None:
        return {}
    if isinstance(node, MappingNode) and all(
        isinstance(overlay, MappingNode) for overlay in node.entries.values()
    ):
        return dict(node.entries)
    remedy = "Use a mapping from availability zones to overlays."
    problems.add(tree.file, node.line, "overlays", "not a mapping by zone", remedy)
    return {}


def render_document(
    revision: int,
    edit_id: str,
    author: str,
    settings: ServiceSettings | str,
    recent_edit_ids: tuple[str, ...] = (),
    overlays: Mapping[str, str] | None = None,
) -> str:
    """Return the text of a document.

    Parameters
    ----------
    settings : ServiceSettings or str
        The base, as settings or as YAML text that has been checked. The text of a
        base file keeps its groups, which keeps the document short.
    recent_edit_ids : tuple of str
        Newest first; truncated to `MAX_RECENT_EDIT_IDS`.
    overlays : mapping of str to str
        YAML text of checked overlays by availability zone.
    """
    if isinstance(settings, str):
        values = _parse_plain_values(settings)
    else:
        values = settings_values(settings)
    document: dict[str, object] = {
        "revision": revision,
        "edit_id": edit_id,
        "recent_edit_ids": list(recent_edit_ids[:MAX_RECENT_EDIT_IDS]),
        "author": author,
        "settings": values,
    }
    if overlays:
        document["overlays"] = {
            zone: _parse_plain_values(text) for zone, text in overlays.items()
        }
    return dump_yaml(document)


def _parse_plain_values(text: str) -> object:
    """Return the values of a checked text; empty if it is invalid.

    `check_document` rejects the document of an invalid text.
    """
    return parse_tree(text, DOCUMENT_NAME).map(plain_value).value_or({})


def check_document(
    text: str, known_policies: KnownPolicies | None = None
) -> DocumentResult:
    """Check a document for every availability zone; return it with the base alone."""
    result = parse_document(text, "", known_policies)
    if isinstance(result, Failure):
        return result
    parts = result.unwrap()
    problems = Problems()
    for source in parts.overlay_texts:
        if source.name not in parts.settings.zones:
            remedy = f"Use one of: {', '.join(parts.settings.zones)}."
            found = "an overlay of an unknown zone"
            key = f"overlays.{source.name}"
            problems.add(DOCUMENT_NAME, 0, key, found, remedy)
            continue
        zone_result = parse_document(text, source.name, known_policies)
        if isinstance(zone_result, Failure):
            return zone_result
    return Failure(problems.errors) if problems.errors else result

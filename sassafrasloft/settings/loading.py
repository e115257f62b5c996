"""Loading of a base and overlays into validated settings."""

from collections.abc import Mapping, Sequence
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.settings.cross_checks import registered_checks
from sassafrasloft.settings.groups import expand_groups
from sassafrasloft.settings.merging import empty_mapping, merge_overlay
from sassafrasloft.settings.model import ServiceSettings
from sassafrasloft.settings.problems import Problems, SettingsError
from sassafrasloft.settings.reading import (
    is_name,
    read_fields,
    report_unknown_key,
)
from sassafrasloft.settings.rules import (
    NAMED_SECTIONS,
    SECTIONS,
    SERVICE_KEYS,
    fields_of,
)
from sassafrasloft.settings.tree import (
    MAX_TEXT_BYTES,
    ListNode,
    MappingNode,
    Node,
    ScalarNode,
    parse_tree,
    plain_value,
)

MAX_CACHED_SECTIONS = 6
"""Enough for two versions of each named section; the section of 2,600 runners takes
about 1 MB."""

SettingsResult = Result[ServiceSettings, tuple[SettingsError, ...]]
KnownPolicies = Mapping[str, frozenset[str]]
"""The names of registered policies, by the key of section `dispatch` that selects
one."""


@attrs.frozen
class SourceText:
    """A YAML text and the file name that error messages give."""

    name: str
    text: str


def load_settings(
    base_path: str | Path,
    overlay_path: str | Path | None = None,
    known_policies: KnownPolicies | None = None,
) -> SettingsResult:
    """Load the base file of a service and the overlay of one site.

    Parameters
    ----------
    base_path, overlay_path : str or Path
        The files. The overlay is optional.
    known_policies : mapping of str to frozenset of str, optional
        Valid values of `dispatch.order`, `placement` and `admission`. They are not
        checked if this is absent.

    Returns
    -------
    Result
        The settings, or the errors of all files, at most 100.
    """
    paths = [base_path] if overlay_path is None else [base_path, overlay_path]
    texts: list[SourceText] = []
    errors: tuple[SettingsError, ...] = ()
    for path in paths:
        match read_source(path):
            case Success(source):
                texts.append(source)
            case Failure(found):
                errors += found
    return Failure(errors) if errors else parse_settings(texts, known_policies)


def read_source(
    path: str | Path,
) -> Result[SourceText, tuple[SettingsError, ...]]:
    """Read a settings file of at most `MAX_TEXT_BYTES`."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_TEXT_BYTES + 1)
        if len(content) > MAX_TEXT_BYTES:
            found = f"more than {MAX_TEXT_BYTES} bytes"
            remedy = "Use groups for runners and instances."
            return Failure((SettingsError(str(path), 0, "", found, remedy),))
        return Success(SourceText(str(path), content.decode("utf-8")))
    except UnicodeDecodeError as error:
        found = f"byte {error.start} is not UTF-8"
        remedy = "Save the file as UTF-8 text."
    except (OSError, ValueError) as error:
        found = f"the file cannot be read ({getattr(error, 'strerror', None) or error})"
        remedy = "Check the path and the permissions of the file."
    return Failure((SettingsError(str(path), 0, "", found, remedy),))


def parse_settings(
    texts: Sequence[SourceText], known_policies: KnownPolicies | None = None
) -> SettingsResult:
    """Parse the texts of a base and of overlays, and return checked settings."""
    trees: list[MappingNode] = []
    errors: tuple[SettingsError, ...] = ()
    for source in texts:
        match parse_tree(source.text, source.name):
            case Success(tree):
                trees.append(tree)
            case Failure(found):
                errors += found
    return Failure(errors) if errors else settings_from_trees(trees, known_policies)


def settings_from_trees(
    trees: Sequence[MappingNode], known_policies: KnownPolicies | None = None
) -> SettingsResult:
    """Merge the trees of a base and of overlays, and check the result."""
    problems = Problems()
    merged, *overlays = trees
    for overlay in overlays:
        merged = merge_overlay(merged, overlay, problems)
    settings = _SettingsReader(merged, problems).read()
    if known_policies:
        _check_policies(merged, settings, known_policies, problems)
    if settings is not None and not problems.count:
        for check in registered_checks():
            for finding in check(settings):
                place = locate(merged, finding.key)
                problems.add(*place, finding.key, finding.found, finding.remedy)
    if problems.count or settings is None:
        return Failure(problems.errors)
    return Success(settings)


def locate(tree: MappingNode, key: str) -> tuple[str, int]:
    """Return file and line of the deepest level of a dotted key that the tree has.

    A member of a group is located at the group.
    """
    file, line = tree.file, 0
    node: Node = tree
    for part in key.split("."):
        if not isinstance(node, MappingNode):
            break
        name = part if part in node.entries else part.rpartition("-")[0]
        if name not in node.entries:
            break
        line = node.key_lines[name]
        node = node.entries[name]
        file = node.file
    return file, line


def _check_policies(
    tree: MappingNode,
    settings: ServiceSettings | None,
    known_policies: KnownPolicies,
    problems: Problems,
) -> None:
    if settings is None:
        return
    for key, names in known_policies.items():
        name = getattr(settings.dispatch, key)
        if name not in names:
            place = locate(tree, f"dispatch.{key}")
            remedy = f"Choose one of: {', '.join(sorted(names))}."
            found = f"{name!r} is not a known policy"
            problems.add(*place, f"dispatch.{key}", found, remedy)


_SECTION_CACHE: dict[str, tuple[object, ...]] = {}
"""Valid named sections by their content, oldest first. Shared by all loads."""


class _SettingsReader:
    """Converts the merged tree into the model."""

    def __init__(self, tree: MappingNode, problems: Problems) -> None:
        self._tree = tree
        self._problems = problems

    def read(self) -> ServiceSettings | None:
        """Return the settings, or None if any part of them is invalid."""
        values = self._read_top_level()
        for section in NAMED_SECTIONS:
            values[section] = self._read_cached_section(section)
        for section in SECTIONS:
            values[section] = self._read_section(section)
        return None if self._problems.count else ServiceSettings(**values)

    def _read_top_level(self) -> dict[str, object]:
        known = [*SERVICE_KEYS, *NAMED_SECTIONS, *SECTIONS]
        texts = MappingNode(self._tree.file, self._tree.line)
        for key, node in self._tree.entries.items():
            if key not in known:
                report_unknown_key(self._tree, key, "", known, self._problems)
            elif key in SERVICE_KEYS and key != "zones":
                texts.put(key, node, self._tree.key_lines[key])
        fields = {key: fields_of("")[key] for key in SERVICE_KEYS if key != "zones"}
        values = read_fields(texts, fields, "", self._problems)
        values["zones"] = self._read_zones()
        return values

    def _read_zones(self) -> tuple[str, ...]:
        node = self._tree.entries.get("zones")
        if not isinstance(node, ListNode):
            line = node.line if node else self._tree.line
            found = "not a list" if node else "the key is missing"
            remedy = "Write it like `zones: [north, south]`."
            self._problems.add(self._tree.file, line, "zones", found, remedy)
            return ()
        names: list[str] = []
        for item in node.items:
            value = item.value if isinstance(item, ScalarNode) else None
            if isinstance(value, str) and is_name(value):
                names.append(value)
            else:
                remedy = "Use letters, digits, - and _, up to 63."
                found = "an entry that is not a name"
                self._problems.add(item.file, item.line, "zones", found, remedy)
        return tuple(names)

    def _read_section(self, section: str) -> object:
        model = SECTIONS[section]
        mapping = self._section_mapping(section)
        values = read_fields(mapping, fields_of(section), section, self._problems)
        return model(**values)

    def _section_mapping(self, section: str) -> MappingNode:
        node = self._tree.entries.get(section)
        is_empty = isinstance(node, ScalarNode) and node.value is None
        if not (node is None or is_empty or isinstance(node, MappingNode)):
            self._problems.add(
                node.file,
                node.line,
                section,
                "no keys below it",
                f"Write keys below it, such as `{next(iter(fields_of(section)))}:`.",
            )
        return empty_mapping(node, self._tree.file)

    def _read_cached_section(self, section: str) -> tuple[object, ...]:
        """Return the entries of a named section, from the cache if it is unchanged.

        Most published revisions change a single value. Reading 2,600 runners takes
        0.1 s, which would delay an instance's tasks at every revision.
        """
        mapping = self._section_mapping(section)
        key = f"{section} {plain_value(mapping)!r}"
        known = _SECTION_CACHE.get(key)
        if known is not None:
            return known
        before = self._problems.count
        items = self._read_named_section(section, mapping)
        if self._problems.count == before:
            while len(_SECTION_CACHE) >= MAX_CACHED_SECTIONS:
                _SECTION_CACHE.pop(next(iter(_SECTION_CACHE)), None)
            _SECTION_CACHE[key] = items
        return items

    def _read_named_section(
        self, section: str, mapping: MappingNode
    ) -> tuple[object, ...]:
        if section != "teams":
            mapping = expand_groups(mapping, section, self._problems)
        items: list[object] = []
        for name, node in mapping.entries.items():
            item = self._read_named_item(section, name, node, mapping.key_lines[name])
            if item is not None:
                items.append(item)
        return tuple(items)

    def _read_named_item(
        self, section: str, name: str, node: Node, line: int
    ) -> object | None:
        path = f"{section}.{name}"
        fields = fields_of(section)
        if not is_name(name):
            remedy = "Use letters, digits, - and _, up to 63."
            found = f"the name {name[:70]!r}"
            self._problems.add(node.file, line, path, found, remedy)
        is_empty = isinstance(node, ScalarNode) and node.value is None
        if not (isinstance(node, MappingNode) or is_empty):
            remedy = f"Write keys below it: {', '.join(fields)}."
            self._problems.add(node.file, line, path, "no keys below it", remedy)
            return None
        mapping = empty_mapping(node, node.file)
        before = self._problems.count
        values = read_fields(mapping, fields, path, self._problems)
        if self._problems.count > before:
            return None
        return NAMED_SECTIONS[section](name=name, **values)

"""Expansion of groups of instances and runners.

An entry of `instances` or `runners` that has the key `count` is a group. Its
members are named ``<group>-<number>``, starting at `first` (1 by default). ``{n}`` in
a string of the group is replaced by the member's number. A group of runners with
`rack_size` has that many members in each rack, named ``<group>-rack-<number>``.
An entry with the name of a member overrides values of that member.
"""

from sassafrasloft.settings.merging import merge_mappings
from sassafrasloft.settings.problems import Problems
from sassafrasloft.settings.tree import MappingNode, Node, ScalarNode

GROUP_KEYS = ("count", "first", "rack_size")
MAX_COUNT = 10_000
"""Catches mistyped counts; above the 2,600 workers that the design provides for."""


def expand_groups(
    section: MappingNode, section_name: str, problems: Problems
) -> MappingNode:
    """Return a section in which each group is replaced by its members."""
    expanded = MappingNode(section.file, section.line)
    for name, node in section.entries.items():
        if isinstance(node, MappingNode) and "count" in node.entries:
            _add_members(expanded, name, node, section_name, problems)
    for name, node in section.entries.items():
        line = section.key_lines[name]
        member = expanded.entries.get(name)
        if isinstance(node, MappingNode) and "count" in node.entries:
            continue
        if isinstance(member, MappingNode) and isinstance(node, MappingNode):
            node = merge_mappings(member, node, (section_name, name), problems)
        expanded.put(name, node, line)
    return expanded


def _add_members(
    expanded: MappingNode,
    group: str,
    node: MappingNode,
    section_name: str,
    problems: Problems,
) -> None:
    path = f"{section_name}.{group}"
    count = _read_group_integer(node, "count", 1, path, problems)
    first = _read_group_integer(node, "first", 1, path, problems)
    rack_size = 0
    if section_name == "runners":
        rack_size = _read_group_integer(node, "rack_size", 0, path, problems)
    for position in range(count):
        number = first + position
        member = _make_member(node, number, section_name)
        if rack_size and "rack" not in member.entries:
            rack = f"{group}-rack-{position // rack_size + 1}"
            member.put("rack", ScalarNode(node.file, node.line, rack, rack), node.line)
        name = f"{group}-{number}"
        if name in expanded.entries:
            problems.add(
                node.file,
                node.line,
                path,
                f"the name {name}, which is also a member of another group",
                "Choose another group name or another `first`.",
            )
        expanded.put(name, member, node.line)


def _make_member(group: MappingNode, number: int, section_name: str) -> MappingNode:
    member = MappingNode(group.file, group.line)
    for key, value in group.entries.items():
        is_group_key = key in GROUP_KEYS[:2] or (
            key == "rack_size" and section_name == "runners"
        )
        if not is_group_key:
            member.put(key, _substitute_number(value, number), group.key_lines[key])
    return member


def _substitute_number(node: Node, number: int) -> Node:
    if isinstance(node, ScalarNode) and isinstance(node.value, str):
        text = node.value.replace("{n}", str(number))
        return ScalarNode(node.file, node.line, text, text)
    return node


def _read_group_integer(
    group: MappingNode, key: str, default: int, path: str, problems: Problems
) -> int:
    node = group.entries.get(key)
    if node is None:
        return default
    value = node.value if isinstance(node, ScalarNode) else None
    if isinstance(value, int) and not isinstance(value, bool):
        if 1 <= value <= MAX_COUNT:
            return value
        found = f"{value}, out of range"
    else:
        found = node.text if isinstance(node, ScalarNode) else "a list or a mapping"
    remedy = f"Give an integer from 1 to {MAX_COUNT}."
    problems.add(node.file, node.line, f"{path}.{key}", found, remedy)
    return 1

"""Validation of the tree's values against the fields: keys, types and ranges."""

import re
from difflib import get_close_matches
from ipaddress import ip_address

from sassafrasloft.settings.problems import Problems
from sassafrasloft.settings.rules import Field, unit_of
from sassafrasloft.settings.tree import ListNode, MappingNode, Node, ScalarNode

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}\Z")
_SHA256 = re.compile(r"[0-9a-f]{64}\Z")
_QUANTITY = re.compile(r"\s*(\d{1,9}(?:\.\d{1,6})?)\s*(ms|s|sec|min|m|h)\s*\Z")
_MS_IN_UNIT = {
    "ms": 1,
    "s": 1_000,
    "sec": 1_000,
    "min": 60_000,
    "m": 60_000,
    "h": 3_600_000,
}


def is_name(text: str) -> bool:
    """Return whether a string is valid as a name, such as that of a runner."""
    return bool(_NAME.match(text))


def is_address(text: str) -> bool:
    """Return whether a string is ``IP:port`` with a port from 1 to 65535."""
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ip_address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= 65_535


def report_unknown_key(
    mapping: MappingNode, key: str, path: str, known: list[str], problems: Problems
) -> None:
    """Add an error for an unknown key that suggests the most similar known key."""
    near = get_close_matches(key, known, n=1, cutoff=0.5)
    if near:
        remedy = f"Did you mean `{near[0]}`? Otherwise remove the key."
    else:
        remedy = f"Known keys here: {', '.join(known)}."
    problems.add(
        mapping.file,
        mapping.key_lines[key],
        f"{path}.{key}" if path else key,
        "an unknown key",
        remedy,
    )


def read_fields(
    mapping: MappingNode, fields: dict[str, Field], path: str, problems: Problems
) -> dict[str, object]:
    """Return the valid values of a mapping by key; report the invalid ones."""
    values: dict[str, object] = {}
    for key, node in mapping.entries.items():
        where = f"{path}.{key}" if path else key
        if key not in fields:
            report_unknown_key(mapping, key, path, list(fields), problems)
            continue
        error = _ValueReader(fields[key], node).read(values)
        if error:
            problems.add(node.file, node.line, where, *error)
    for key, field in fields.items():
        if field.required and key not in mapping.entries:
            problems.add(
                mapping.file,
                mapping.line,
                f"{path}.{key}" if path else key,
                "the key is missing",
                f"Add it: {field.rule.meaning}",
            )
    return values


class _ValueReader:
    """Validates one value. An error is a pair of what was found and the remedy."""

    def __init__(self, field: Field, node: Node) -> None:
        self._field = field
        self._node = node

    def read(self, values: dict[str, object]) -> tuple[str, str] | None:
        """Store the value in `values`, or return the error."""
        node = self._node
        if not isinstance(node, ScalarNode):
            kind = "a list" if isinstance(node, ListNode) else "a mapping"
            return f"{kind} where a single value is expected", self._remedy()
        if self._field.type is str:
            error = self._check_text(node)
        else:
            error = self._check_number(node)
        if error is None:
            is_float = self._field.type is float
            values[self._field.name] = float(node.value) if is_float else node.value
        return error

    def _remedy(self) -> str:
        if self._field.type is str:
            return f"Give a string. {self._field.rule.meaning}"
        rule = self._field.rule
        kind = "an integer" if self._field.type is int else "a number"
        unit = unit_of(self._field.name)
        unit = f" in {unit}" if unit else ""
        return f"Give {kind}{unit} from {rule.minimum:g} to {rule.maximum:g}."

    def _check_number(self, node: ScalarNode) -> tuple[str, str] | None:
        value = node.value
        allowed = (int, float) if self._field.type is float else (int,)
        if isinstance(value, bool) or not isinstance(value, allowed):
            return f"{node.text[:40]!r}, which is not a number", self._unit_remedy()
        rule = self._field.rule
        if not rule.minimum <= value <= rule.maximum:
            return f"{node.text[:40]}, out of range", self._remedy()
        return None

    def _unit_remedy(self) -> str:
        match = _QUANTITY.match(self._node.text)
        if match and unit_of(self._field.name) == "ms":
            value_ms = round(float(match[1]) * _MS_IN_UNIT[match[2]])
            return f"Write {value_ms}: the value is in ms, without a unit."
        return self._remedy()

    def _check_text(self, node: ScalarNode) -> tuple[str, str] | None:
        rule = self._field.rule
        if not isinstance(node.value, str):
            found = f"{node.text[:40] or 'nothing'}, which is not a string in YAML"
            return found, "Put the string in quotes."
        text = node.value
        shown = repr(text[:60])
        if rule.form == "address" and not is_address(text):
            return f"{shown} is not IP:port", "Write it like 10.0.0.5:7100, no names."
        if rule.form == "name" and not is_name(text):
            return f"{shown} is not a name", "Use letters, digits, - and _, up to 63."
        if rule.form == "sha256" and text and not _SHA256.match(text):
            remedy = "Give 64 hexadecimal digits, as `sha256sum` prints them."
            return "a string that is not a SHA-256 digest", remedy
        if rule.choices and text not in rule.choices:
            return f"{shown}", f"Choose one of: {', '.join(rule.choices)}."
        return None

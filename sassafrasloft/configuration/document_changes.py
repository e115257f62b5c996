"""Header and differences of published documents, read without their schema."""

import attrs
import yaml
from returns.result import Failure, Result, Success

from sassafrasloft.errors import MalformedInput

COMPARED_KEYS = ("settings", "overlays")
"""Top-level keys whose values operators edit; other keys are not compared."""

_MISSING = object()


@attrs.frozen
class DocumentHeader:
    """The keys that identify a version of a document.

    Parameters
    ----------
    revision : int
        Revision of the document; 0 if there is no document.
    edit_id : str
        The edit that produced this version.
    author : str
        Who published this version.
    recent_edit_ids : tuple of str
        The preceding edits, newest first.
    """

    revision: int = 0
    edit_id: str = ""
    author: str = ""
    recent_edit_ids: tuple[str, ...] = ()


def _load(text: str) -> object:
    # The C loader reads the settings of 2,600 runners in 0.2 s instead of 0.9 s.
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    return yaml.load(text, Loader=loader)  # noqa: S506 - both loaders are safe


def read_header(text: str) -> Result[DocumentHeader, MalformedInput]:
    """Return the header of a document, or revision 0 if the text is empty."""
    if not text:
        return Success(DocumentHeader())
    try:
        values = _load(text)
    except yaml.YAMLError as error:
        return Failure(_malformed_document(f"invalid YAML: {error!s:.200}"))
    if not isinstance(values, dict):
        return Failure(_malformed_document("the document is not a mapping"))
    revision = values.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 1:
        return Failure(_malformed_document(f"invalid revision {revision!r:.40}"))
    recent = values.get("recent_edit_ids") or ()
    if not isinstance(recent, list | tuple):
        return Failure(_malformed_document("recent_edit_ids is not a list"))
    return Success(
        DocumentHeader(
            revision,
            str(values.get("edit_id") or ""),
            str(values.get("author") or ""),
            tuple(str(edit_id) for edit_id in recent),
        )
    )


def _malformed_document(found: str) -> MalformedInput:
    return MalformedInput(
        "published settings",
        found,
        "Restore the last valid document under this key.",
    )


def changed_keys(base_text: str, text: str) -> tuple[str, ...]:
    """Return the dotted keys whose values differ between two documents.

    List entries are identified by their `name` if they have one and by their
    position otherwise, so that an added runner does not count as a change of all
    runners after it. A text that is not a YAML mapping counts as empty.
    """
    before = _flatten(base_text)
    after = _flatten(text)
    keys = [*after, *(key for key in before if key not in after)]
    return tuple(
        key for key in keys if before.get(key, _MISSING) != after.get(key, _MISSING)
    )


def _flatten(text: str) -> dict[str, object]:
    try:
        values = _load(text) if text else {}
    except yaml.YAMLError:
        values = {}
    leaves: dict[str, object] = {}
    if isinstance(values, dict):
        for key in COMPARED_KEYS:
            if key in values:
                _collect_leaves(values[key], "" if key == "settings" else key, leaves)
    return leaves


def _collect_leaves(value: object, path: str, leaves: dict[str, object]) -> None:
    if isinstance(value, dict):
        entries = [(str(key), entry) for key, entry in value.items()]
    elif isinstance(value, list):
        entries = [(_entry_key(entry, n), entry) for n, entry in enumerate(value)]
    else:
        if path:
            leaves[path] = value
        return
    for key, entry in entries:
        _collect_leaves(entry, f"{path}.{key}" if path else key, leaves)


def _entry_key(entry: object, position: int) -> str:
    name = entry.get("name") if isinstance(entry, dict) else None
    return str(name) if name else str(position)

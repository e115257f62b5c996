"""Interface of parsed settings documents, and adoption of their settings."""

from collections.abc import Callable, Sequence
from typing import Protocol

from returns.result import Result

from sassafrasloft.core import Blackboard, SettingsAdopted
from sassafrasloft.errors import SassafrasloftError
from sassafrasloft.invariants import Invariant
from sassafrasloft.settings import ServiceSettings


class CheckedDocument(Protocol):
    """The attributes of a parsed and checked document that controllers use."""

    revision: int
    settings: ServiceSettings


DocumentParser = Callable[
    [str, str], Result[CheckedDocument, Sequence[SassafrasloftError]]
]
"""Parses and checks the text of a document for an availability zone."""


def settings_key(service: str) -> str:
    """Return the key under which the platform stores a service's settings."""
    return f"sassafrasloft/{service}/settings"


def adopt_settings(
    board: Blackboard, revision: int, settings: ServiceSettings, text: str
) -> bool:
    """Replace the settings in force and notify the controllers.

    Returns
    -------
    bool
        Whether the settings were replaced. They are not if the revision is not
        above the revision in force.

    Raises
    ------
    InvariantViolated
        If the revision is not above the revision in force and the auditor is
        strict.
    """
    in_force = board.settings
    is_newer = board.auditor.check(
        Invariant.CONFIGURATION_NEVER_REVERTS,
        revision > in_force.revision,
        f"revision {revision} would replace {in_force.revision}",
    )
    if not is_newer:
        return False
    in_force.service = settings
    in_force.revision = revision
    in_force.text = text
    board.post(SettingsAdopted(revision))
    return True

"""The settings that this instance has in force."""

import attrs

from sassafrasloft.settings import ServiceSettings


@attrs.define
class SettingsInForce:
    """The validated settings, with the revision and text of their document.

    Revision 0 denotes the settings with which the process was started. Published
    revisions start at 1 and only increase.
    """

    service: ServiceSettings
    revision: int = 0
    text: str = ""

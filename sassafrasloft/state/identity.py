"""Who this instance is."""

import attrs


@attrs.define
class Identity:
    """The names of an instance and the authority of its incarnation.

    Parameters
    ----------
    instance, zone : str
        From the settings.
    incarnation : str
        64 random bits in hexadecimal; new for each process and after a pause.
    secret : bytes
        The key of the check in the incarnation's submission ids.
    """

    instance: str
    zone: str
    incarnation: str
    secret: bytes

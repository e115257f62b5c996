"""The identity of this instance."""

import attrs


@attrs.define
class Identity:
    """The names of an instance, and the incarnation under which it acts.

    Parameters
    ----------
    instance, zone : str
        Names of the instance and of its availability zone, from the settings.
    incarnation : str
        64 random bits in hexadecimal; new for each process, and whenever the
        instance has lost the authority of its incarnation, as after a pause.
    secret : bytes
        The key of the check code in the submission ids of the incarnation.
    """

    instance: str
    zone: str
    incarnation: str
    secret: bytes

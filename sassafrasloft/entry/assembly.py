"""Builds the decision core of an instance from the settings of the service."""

import secrets
from importlib import import_module
from random import Random

from sassafrasloft.core import Blackboard, DecisionCore, registered_controllers
from sassafrasloft.errors import MalformedInput, SassafrasloftError, register_error
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.settings import InstanceSettings, ServiceSettings
from sassafrasloft.state import Identity

CONTROLLER_PACKAGES = (
    "sassafrasloft.configuration",
    "sassafrasloft.membership",
    "sassafrasloft.submissions",
    "sassafrasloft.upstreams",
    "sassafrasloft.dispatch",
)
"""Packages whose import registers their controllers."""


@register_error("controllers_missing")
class ControllersMissing(SassafrasloftError):
    """A package of controllers is not installed."""

    default_remedy = "Install the whole package sassafrasloft again."


def import_controllers() -> None:
    """Import the packages that register the controllers.

    Raises
    ------
    ControllersMissing
        If packages do not exist; the error lists all of them.
    """
    missing = []
    for package in CONTROLLER_PACKAGES:
        try:
            import_module(package)
        except ModuleNotFoundError as error:
            if error.name != package:
                raise
            missing.append(package)
    if missing:
        raise ControllersMissing(", ".join(missing), "cannot be imported")


def instance_settings(settings: ServiceSettings, name: str) -> InstanceSettings:
    """Return the settings of the instance with the given name.

    Raises
    ------
    MalformedInput
        If the service has no instance of that name.
    """
    for instance in settings.instances:
        if instance.name == name:
            return instance
    known = ", ".join(instance.name for instance in settings.instances)
    raise MalformedInput("instance", repr(name), f"Give one of: {known}.")


def build_core(
    settings: ServiceSettings,
    instance: str,
    random: Random | None = None,
    strict: bool = False,
) -> DecisionCore:
    """Return a decision core with all controllers and a new incarnation.

    Parameters
    ----------
    random : random.Random, optional
        Seeded in tests, so that each run gives the same commands. By default the
        incarnation and the secret come from the operating system.
    strict : bool
        Whether a violated invariant raises an error; a process in service only
        counts it.
    """
    import_controllers()
    own = instance_settings(settings, instance)
    if random is None:
        random = Random(secrets.randbits(128))
        incarnation, secret = secrets.token_hex(8), secrets.token_bytes(32)
    else:
        incarnation, secret = f"{random.getrandbits(64):016x}", random.randbytes(32)
    identity = Identity(own.name, own.zone, incarnation, secret)
    board = Blackboard(identity, settings, random, InvariantChecker(strict))
    return DecisionCore(board, registered_controllers())

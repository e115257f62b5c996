"""Registry of the controllers of an entry instance."""

from collections.abc import Callable

from sassafrasloft.blackboard import Controller, ControllerRegistry
from sassafrasloft.blackboard.controller import ControllerClass

_CONTROLLERS = ControllerRegistry()


def register_controller(
    name: str, order: int
) -> Callable[[ControllerClass], ControllerClass]:
    """Return a decorator that registers a controller class.

    Controllers handle each event in ascending order: 1 pause, 10 configuration,
    20 membership, 30 submissions, 40 upstreams, 50 dispatch, 90 audit.
    """
    return _CONTROLLERS.register(name, order)


def registered_controllers() -> list[Controller]:
    """Return a new controller of each registered class, in ascending order."""
    return _CONTROLLERS.create_all()

"""The base class of controllers and their registry."""

from abc import ABC
from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

from sassafrasloft.blackboard.board import Event


class Controller(ABC):  # noqa: B024 - every hook has a useful default
    """Makes the decisions about one subject, based on the blackboard."""

    handles: ClassVar[tuple[type[Event], ...]] = ()
    """The event types that `react` is called for."""

    def before(self, event: Event, board: Any) -> None:  # noqa: B027
        """Observe an external event before any controller handles it.

        Events posted here are handled before the external event.
        """

    def react(self, event: Event, board: Any) -> None:  # noqa: B027
        """Handle one event.

        A controller may change its own sections of the blackboard, emit commands
        and post events.
        """

    def settle(self, board: Any) -> None:  # noqa: B027
        """Act on the state that results from a step, after all of its events."""


ControllerClass = TypeVar("ControllerClass", bound=type[Controller])


class ControllerRegistry:
    """The controller classes of one program, by name and order."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, type[Controller]]] = {}

    def register(
        self, name: str, order: int
    ) -> Callable[[ControllerClass], ControllerClass]:
        """Return a decorator that registers a controller class.

        Parameters
        ----------
        name : str
            The unique name of the controller.
        order : int
            Controllers are called in ascending order.
        """

        def enter(controller_class: ControllerClass) -> ControllerClass:
            if name in self._entries:
                raise ValueError(f"controller {name!r} is registered twice")
            self._entries[name] = (order, controller_class)
            return controller_class

        return enter

    def create_all(self) -> list[Controller]:
        """Return a new controller of each registered class, in their order."""
        entries = sorted(
            (order, name, controller)
            for name, (order, controller) in self._entries.items()
        )
        return [controller() for _, _, controller in entries]

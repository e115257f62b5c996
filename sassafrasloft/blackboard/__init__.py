"""The blackboard and its controllers: decision logic without I/O.

All programs share this package.
"""

from sassafrasloft.blackboard.board import (
    Board,
    Command,
    Event,
    SetTimer,
    Started,
    TimerFired,
)
from sassafrasloft.blackboard.controller import (
    Controller,
    ControllerRegistry,
)
from sassafrasloft.blackboard.decision_core import DecisionCore

__all__ = [
    "Board",
    "Command",
    "Controller",
    "ControllerRegistry",
    "DecisionCore",
    "Event",
    "SetTimer",
    "Started",
    "TimerFired",
]

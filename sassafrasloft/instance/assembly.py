"""Assembles the decision core of an instance."""

from random import Random

from sassafrasloft.blackboard import DecisionCore
from sassafrasloft.gateway import controller as _gateway  # noqa: F401 - registers
from sassafrasloft.instance import stopping as _stopping  # noqa: F401 - registers
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.settings import InstanceSettings
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.invariants import InstanceInvariant, InvariantChecker
from sassafrasloft.leadership import controller as _leadership  # noqa: F401 - registers
from sassafrasloft.metadata import controller as _metadata  # noqa: F401 - registers
from sassafrasloft.metadata import (
    evacuation_controller as _evacuations,  # noqa: F401 - registers
)
from sassafrasloft.metadata import exchange as _exchange  # noqa: F401 - registers
from sassafrasloft.metadata.adoption import StoreDocuments
from sassafrasloft.runs import controller as _runs  # noqa: F401 - registers
from sassafrasloft.runs import crash_reports as _crash_reports  # noqa: F401 - registers
from sassafrasloft.scheduling import controller as _scheduling  # noqa: F401 - registers


def create_instance(
    settings: InstanceSettings,
    documents: StoreDocuments,
    random: Random,
    tuning: Tuning | None = None,
    strict: bool = False,
) -> DecisionCore:
    """Return a new decision core.

    Parameters
    ----------
    settings : InstanceSettings
    documents : StoreDocuments
    random : random.Random
        Source of all randomness; it also gives the name of the incarnation.
    tuning : Tuning, optional
    strict : bool
        Whether a violated invariant raises an error, as in tests.
    """
    incarnation = f"{random.getrandbits(64):016x}"
    board = InstanceBoard(
        settings,
        incarnation,
        random,
        tuning or Tuning(),
        InvariantChecker(strict, InstanceInvariant),
        documents,
    )
    return DecisionCore(board, CONTROLLERS.create_all())

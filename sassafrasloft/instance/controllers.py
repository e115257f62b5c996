"""The registry of an instance's controllers.

Their order numbers: 5 stopping, 10 metadata, 20 leadership, 30 gateway, 40 runs, 50
scheduling.
"""

from sassafrasloft.blackboard import ControllerRegistry

CONTROLLERS = ControllerRegistry()

"""The client of the platform's HTTP interface."""

from sassafrasloft.keyvalue.client import PlatformClient

__all__ = ["PlatformClient"]

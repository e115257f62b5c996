"""HTTP client for the key-value service of the platform."""

from sassafrasloft.keyvalue.client import PlatformClient

__all__ = ["PlatformClient"]

"""Log output as JSON lines through the standard `logging` module."""

from sassafrasloft.logs.json_lines import configure_logging, write_log

__all__ = ["configure_logging", "write_log"]

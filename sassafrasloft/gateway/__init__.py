"""The gateway: an instance's handling of callers' requests, from arrival to answer."""

from sassafrasloft.gateway.answers import AnswerKind, CallerAnswer

__all__ = ["AnswerKind", "CallerAnswer"]

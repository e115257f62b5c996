"""Callers' requests at one instance, from arrival to answer."""

from sassafrasloft.gateway.answers import AnswerKind, CallerAnswer

__all__ = ["AnswerKind", "CallerAnswer"]

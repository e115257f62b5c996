"""Error kinds that are raised by more than one subpackage."""

from sassafrasloft.errors.base import SassafrasloftError, register_error


@register_error("malformed_input")
class MalformedInput(SassafrasloftError):
    """A request, file or field is not in the expected format."""

    default_remedy = "Correct the named field and send it again."


@register_error("message_rejected")
class MessageRejected(SassafrasloftError):
    """A message between instances has an unknown version, kind or format."""

    default_remedy = "Run the same release on all instances."


@register_error("invariant_violated")
class InvariantViolated(SassafrasloftError):
    """An invariant of the service is violated."""

    default_remedy = "Report this with the seed or the log lines around it."


@register_error("platform_unavailable")
class PlatformUnavailable(SassafrasloftError):
    """The platform's key-value service did not answer."""

    default_remedy = "Try again when the platform's service answers."


@register_error("configuration_conflict")
class ConfigurationConflict(SassafrasloftError):
    """Another operator published a newer revision first."""

    default_remedy = "Read the newer revision, repeat the edit on it, publish again."


@register_error("upstream_unreachable")
class UpstreamUnreachable(SassafrasloftError):
    """No connection to an upstream could be opened."""

    default_remedy = "Check that the runner is up and its address is right."

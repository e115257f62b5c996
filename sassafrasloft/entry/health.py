"""State that the health endpoint reports to the load balancer."""

from sassafrasloft.listeners import JsonReply


class Health:
    """Whether the instance accepts new connections; set by the command `SetHealth`.

    Parameters
    ----------
    instance : str
        Name of the instance, included in the reply for operators.
    """

    def __init__(self, instance: str) -> None:
        self.serving = True
        self._instance = instance

    def reply(self) -> JsonReply:
        """Return status 200 while the instance serves and 503 while it leaves."""
        body = {"instance": self._instance, "serving": self.serving}
        return JsonReply(200 if self.serving else 503, body)

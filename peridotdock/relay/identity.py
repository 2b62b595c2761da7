"""Identifies the workspace of a request by the caller's key."""

from collections.abc import Callable

from peridotdock.deployment import Deployment, Route
from peridotdock.errors import Failure, Kind
from peridotdock.relay.requests import Identity, RequestHead
from peridotdock.relay.settings import Bounds

# Retry-after in seconds when the host's configuration is stale.
STALE_CONFIG_RETRY_SECONDS = 0.5


class Identifier:
    """Finds the workspaces of requests on one host.

    ``config_age`` returns the seconds since the configuration was known to be the newest.
    """

    def __init__(self, bounds: Bounds, config_age: Callable[[], float]):
        self._bounds = bounds
        self._config_age = config_age

    def identify(
        self, deployment: Deployment, route: Route, head: RequestHead
    ) -> Identity | Failure:
        """Return the sender of a request, or the reason for which it is refused.

        With a stale configuration an unknown key may be a new one, so the caller is sent to another
        host. With ``revoke_strict`` this applies to all keys once the configuration is older than
        the revocation bound: any of them may have been revoked meanwhile.
        """
        workspaces = deployment.workspaces
        if not workspaces:
            return Identity(headers=head.identity_headers)
        found = workspaces.find(head.key)
        if found is None and route.public:
            return Identity()
        age = self._config_age()
        if found is None:
            return (
                self._refuse_stale_config()
                if age > self._bounds.config
                else Failure(Kind.UNKNOWN_CALLER)
            )
        if self._bounds.revoke_strict and age > self._bounds.revoke:
            return self._refuse_stale_config()
        return Identity(found)

    def _refuse_stale_config(self) -> Failure:
        return Failure(Kind.NOT_READY, "the configuration is old", STALE_CONFIG_RETRY_SECONDS)

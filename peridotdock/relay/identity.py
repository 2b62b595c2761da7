"""Who sends a request: the workspace that holds its key, as far as this host can know."""

from collections.abc import Callable

from peridotdock.deployment import Deployment, Route
from peridotdock.errors import Failure, Kind
from peridotdock.relay.requests import Identity, RequestHead
from peridotdock.relay.settings import Bounds

# Seconds until a caller may come back to a host whose configuration is old.
STALE_CONFIG_RETRY_SECONDS = 0.5


class Identifier:
    """Finds the workspaces of requests on one host.

    ``config_age`` gives the seconds since the configuration was known to be the newest one.
    """

    def __init__(self, bounds: Bounds, config_age: Callable[[], float]):
        self._bounds = bounds
        self._config_age = config_age

    def identify(
        self, deployment: Deployment, route: Route, head: RequestHead
    ) -> Identity | Failure:
        """Return who sends a request, or why it is not served.

        A host whose configuration is old can't tell a key that is unknown from one that is new, so
        it sends the caller elsewhere. Where operators are strict it does so with all keys: one of
        them may have been revoked meanwhile.
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

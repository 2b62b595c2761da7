"""HTTP calls of the operators' tool to a host."""

import json
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import Any

from peridotdock.status import ExitStatus, to_exit_status

TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True)
class Refusal:
    """A failed call: the message for the operator and the exit status.

    ``errors`` lists each error of a manifest that was refused.
    """

    message: str
    status: ExitStatus
    errors: tuple[str, ...] = ()


class HostCaller:
    """Calls the admin API of one host with the operators' token."""

    def __init__(self, url: str, token: str):
        self._url = url.rstrip("/")
        self._token = token
        # Hosts are called by IP address, never through a proxy.
        self._opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))

    def get(self, path: str) -> dict[str, Any] | Refusal:
        """Send a GET for a path below ``/admin/``; return the decoded answer."""
        return self._call("GET", path, None)

    def post(self, path: str, body: bytes) -> dict[str, Any] | Refusal:
        """Send a POST of JSON to a path below ``/admin/``; return the decoded answer."""
        return self._call("POST", path, body)

    def _call(self, method: str, path: str, body: bytes | None) -> dict[str, Any] | Refusal:
        headers = {"authorization": f"Bearer {self._token}", "content-type": "application/json"}
        request = urllib.request.Request(
            f"{self._url}/admin/{path}", data=body, headers=headers, method=method
        )
        try:
            with self._opener.open(request, timeout=TIMEOUT_SECONDS) as resp:
                return json.load(resp)
        except urllib.error.HTTPError as exc:
            return read_refusal(exc)
        except (OSError, ValueError) as exc:
            return Refusal(f"{self._url} does not answer: {exc}", ExitStatus.UNREACHABLE)


def read_refusal(exc: urllib.error.HTTPError) -> Refusal:
    """Build a refusal from a host's error response; one without a known body has status ERROR."""
    try:
        body = json.load(exc)
        error = body["error"]
    except (ValueError, KeyError, TypeError):
        return Refusal(f"status {exc.code}", ExitStatus.ERROR)
    errors = tuple(body.get("errors", ()))
    return Refusal(f"{error['type']}: {error['message']}", to_exit_status(error["type"]), errors)

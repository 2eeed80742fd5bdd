"""Commands of ``knapweedleadctl``."""

import asyncio
import hashlib
import json
import os
import re
import secrets
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

from fire.decorators import SetParseFns
from result import Err, Ok, Result

from knapweedlead.errors import ParameterError
from knapweedlead.operators._checks import CHECKS
from knapweedlead.operators._client import ApiError, ApiResponse, OperatorClient
from knapweedlead.operators._explain import find_daemon_lines, find_request_lines
from knapweedlead.operators._resource_file import ResourceDocument, load_resources
from knapweedlead.operators._tables import render_resources, render_status

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_ACTIVE = 5

ADDRESS_VARIABLE = "KNAPWEEDLEAD_OPERATOR_ADDRESS"
CREDENTIAL_VARIABLE = "KNAPWEEDLEAD_OPERATOR_CREDENTIAL"

WAIT_TIMEOUT_SECONDS = 30.0
"""Longest time that ``--wait`` waits for a revision to be active, in seconds."""
POLL_INTERVAL_SECONDS = 0.2

KEY_BYTES = 24

T = TypeVar("T")


class CommandLine:
    """Operate a fleet of knapweedlead daemons.

    Exit codes: 0 success, 1 refused, 2 invalid usage or file, 3 conflict with
    another operator's change, 4 no daemon reachable, 5 not active in time.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of one or more operator listeners, separated by commas;
        defaults to KNAPWEEDLEAD_OPERATOR_ADDRESS.
    credential : str
        Operator credential; defaults to KNAPWEEDLEAD_OPERATOR_CREDENTIAL.
    output : str
        Output format, ``table`` or ``json``.
    """

    def __init__(
        self, address: Any = "", credential: str = "", output: str = "table"
    ) -> None:
        self._address = address
        self._credential = credential
        self._output = output

    @SetParseFns(request_id=str)
    def explain(self, request_id: str, *files: str, around: float = 0.0) -> None:
        """Print the log lines of a request, ordered by time.

        Parameters
        ----------
        request_id : str
        files : str
            Log files of daemons.
        around : float
            If positive, also print the lines without a request id that the daemon of
            the request's last line wrote within this many seconds of it.
        """
        paths = [Path(str(file)) for file in files]
        lines = find_request_lines(request_id, paths)
        if not lines:
            message = f"no log line for request {request_id}; only one in 64"
            raise _error_exit(EXIT_REFUSED, f"{message} successful calls is logged")
        if around > 0.0:
            daemon = re.search(r"daemon=(\S+)", lines[-1].text)
            if daemon is not None:
                lines += find_daemon_lines(daemon[1], lines[-1].time, around, paths)
        for line in sorted(lines, key=lambda line: line.time):
            print(line.text)

    def apply(self, file: str, wait: bool = False) -> None:
        """Create or replace every resource in a file.

        Parameters
        ----------
        file : str
            JSON with comments: lists of resources by kind.
        wait : bool
            Wait until the change is active on every member.
        """
        resources = load_resources(str(file))
        if isinstance(resources, Err):
            raise _error_exit(EXIT_USAGE, str(resources.err_value))
        client = self._client()
        revision = 0
        for resource in resources.ok_value:
            response = self._unwrap(_run(_put_resource(client, resource)))
            revision = max(revision, response.document["revision"])
            print(f"applied {resource.kind}/{resource.name} version {response.version}")
        if wait:
            self._wait_until_active(client, revision)

    def get(self, kind: str, name: str = "") -> None:
        """Show all resources of a kind, or one by name."""
        path = f"/v1/{kind}/{name}" if name else f"/v1/{kind}"
        response = self._unwrap(_run(self._client().request("GET", path)))
        items = [response.document] if name else response.document["items"]
        self._print(response.document, render_resources(items))

    def delete(self, kind: str, name: str, version: str = "") -> None:
        """Delete a resource; if a version is given, only if it is current."""
        path = f"/v1/{kind}/{name}"
        client = self._client()
        self._unwrap(_run(client.request("DELETE", path, None, str(version))))
        print(f"deleted {kind}/{name}")

    def watch(self, kind: str, from_revision: str = "", count: int = 0) -> None:
        """Print changes to resources of a kind as JSON lines.

        Parameters
        ----------
        kind : str
            Resource kind.
        from_revision : str
            Start after this revision; by default, with the next change.
        count : int
            Stop after this many changes; 0 means no limit.
        """
        _run(self._print_changes(kind, str(from_revision), count))

    async def _print_changes(self, kind: str, revision: str, count: int) -> None:
        printed = 0
        async for record in self._client().watch(kind, revision):
            document = self._unwrap(record)
            if document["change"] == "heartbeat":
                continue
            print(json.dumps(document), flush=True)
            printed += 1
            if printed == count:
                return

    def status(self, watch: bool = False) -> None:
        """Show the fleet: active revision, members and their states."""
        client = self._client()
        while True:
            response = self._unwrap(_run(client.request("GET", "/v1/status")))
            self._print(response.document, render_status(response.document))
            if not watch:
                return
            time.sleep(1.0)
            print()

    def issue_key(self, name: str, client_account: str) -> None:
        """Create a key for a client account and print it.

        The key can't be shown again: only its digest is sent and stored.
        """
        key = secrets.token_urlsafe(KEY_BYTES)
        document = {
            "name": name,
            "client_account": client_account,
            "sha256": hashlib.sha256(key.encode()).hexdigest(),
        }
        request = self._client().request("PUT", f"/v1/keys/{name}", document)
        self._unwrap(_run(request))
        print(key)

    def withdraw_key(self, name: str, wait: bool = False) -> None:
        """Withdraw a key, so that calls with it are refused."""
        client = self._client()
        path = f"/v1/keys/{name}"
        response = self._unwrap(_run(client.request("GET", path)))
        document = _strip_metadata(response.document) | {"is_withdrawn": True}
        change = client.request("PUT", path, document, response.version)
        self._report_change(
            client, f"withdrawn keys/{name}", self._unwrap(_run(change)), wait
        )

    def take_out(self, kind: str, name: str, wait: bool = False) -> None:
        """Take a data centre or a backend server out of service."""
        self._set_in_service(kind, name, False, wait)

    def bring_back(self, kind: str, name: str, wait: bool = False) -> None:
        """Bring a data centre or a backend server back into service."""
        self._set_in_service(kind, name, True, wait)

    def _set_in_service(
        self, kind: str, name: str, in_service: bool, wait: bool
    ) -> None:
        if kind not in ("data_centres", "backend_servers"):
            raise _error_exit(
                EXIT_USAGE, f"expected data_centres or backend_servers, found {kind}"
            )
        client = self._client()
        path = f"/v1/{kind}/{name}"
        current = _run(client.request("GET", path))
        if isinstance(current, Ok):
            document, version = (
                _strip_metadata(current.ok_value.document),
                current.ok_value.version,
            )
        else:
            document, version = {"name": name}, ""
        document["in_service"] = in_service
        change = client.request("PUT", path, document, version)
        state = "in service" if in_service else "out of service"
        response = self._unwrap(_run(change))
        self._report_change(client, f"{kind}/{name} is {state}", response, wait)

    def check_settings(self, file: str, kind: str = "daemon") -> None:
        """Check a file that daemons read, without starting anything.

        Parameters
        ----------
        file : str
        kind : str
            ``daemon`` for the settings of a daemon; on the users' platform, ``boot``
            for its boot file and ``configuration`` for the stored configuration.
        """
        try:
            check = CHECKS.create(str(kind))
        except ParameterError as error:
            raise _error_exit(EXIT_USAGE, str(error)) from error
        checked = check.check(Path(str(file)))
        if isinstance(checked, Err):
            raise _error_exit(EXIT_USAGE, "\n".join(checked.err_value))
        print(f"{file}: {checked.ok_value}")

    def _report_change(
        self, client: OperatorClient, text: str, response: ApiResponse, wait: bool
    ) -> None:
        print(f"{text} at revision {response.document['revision']}")
        if wait:
            self._wait_until_active(client, response.document["revision"])

    def _wait_until_active(self, client: OperatorClient, revision: int) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        outdated: list[str] = []
        while time.monotonic() < deadline:
            response = self._unwrap(_run(client.request("GET", "/v1/status")))
            outdated = _outdated_members(response.document, revision)
            if not outdated:
                print(f"revision {revision} is active on every member")
                return
            time.sleep(POLL_INTERVAL_SECONDS)
        detail = f"revision {revision} is not yet active on {', '.join(outdated)}"
        raise _error_exit(EXIT_NOT_ACTIVE, detail)

    def _client(self) -> OperatorClient:
        address = _join_addresses(self._address) or os.environ.get(ADDRESS_VARIABLE, "")
        credential = self._credential or os.environ.get(CREDENTIAL_VARIABLE, "")
        if not address or not credential:
            raise _error_exit(
                EXIT_USAGE,
                f"set --address and --credential, or {ADDRESS_VARIABLE} "
                f"and {CREDENTIAL_VARIABLE}",
            )
        return OperatorClient(address.split(","), credential)

    def _unwrap(self, result: Result[T, ApiError]) -> T:
        if isinstance(result, Ok):
            return result.ok_value
        error = result.err_value
        if error.is_conflict:
            raise _error_exit(
                EXIT_CONFLICT, f"{error}; read the resource again and retry the change"
            )
        if not error.status:
            raise _error_exit(
                EXIT_UNREACHABLE, f"{error}; check --address or try another daemon"
            )
        raise _error_exit(EXIT_REFUSED, str(error))

    def _print(self, document: Any, table: str) -> None:
        if self._output == "json":
            print(json.dumps(document, indent=2))
        else:
            print(table)


async def _put_resource(
    client: OperatorClient, resource: ResourceDocument
) -> Result[ApiResponse, ApiError]:
    path = f"/v1/{resource.kind}/{resource.name}"
    return await client.request("PUT", path, resource.document)


def _outdated_members(status: dict[str, Any], revision: int) -> list[str]:
    return [
        member["name"]
        for member in status["members"]
        if member["state"] == "alive" and member.get("revision", 0) < revision
    ]


def _strip_metadata(document: dict[str, Any]) -> dict[str, Any]:
    """Return a resource's document without ``version`` and ``revision``."""
    return {k: v for k, v in document.items() if k not in ("version", "revision")}


def _join_addresses(value: Any) -> str:
    """Return `value` as text; fire parses ``a,b`` into a tuple."""
    return ",".join(map(str, value)) if isinstance(value, tuple) else str(value)


def _run(coroutine: Coroutine[Any, Any, T]) -> T:
    return asyncio.run(coroutine)


def _error_exit(code: int, text: str) -> SystemExit:
    """Print an error message and return the `SystemExit` to raise."""
    print(text, file=sys.stderr)
    return SystemExit(code)

"""Running deployment: starts its processes and changes it at run time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import time
from typing import Any

import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_lab.caller import report as reports
from tamarack_lab.deployment import child_processes as child_processes
from tamarack_lab.deployment import http_client
from tamarack_lab.deployment import layout as layouts
from tamarack_lab.target import process as target_process
from tamarack_lab.target import server as servers

WAIT_TIMEOUT_S = 30.0
_POLL_S = 0.2
_OK = 200
_PROGRAM = "tamarack"


class DeploymentError(Exception):
    """Raised when a deployment doesn't complete an operation."""


class Deployment:
    """A running deployment.

    Attributes:
        layout: Addresses, ports and folders.
        children: Processes of the deployment.
        client: HTTP client.
        version: Configuration version of the last accepted patch.
    """

    __slots__ = ("children", "client", "layout", "version")

    def __init__(self, layout: layouts.Layout, folder: pathlib.Path) -> None:
        """Initializes the deployment; requires a running event loop.

        No process is started.

        Args:
            layout: Addresses, ports and folders.
            folder: Folder for settings, logs and state; must exist.
        """
        self.layout = layout
        self.children = child_processes.ChildProcesses(folder)
        self.client = http_client.HttpClient()
        self.version = 0

    async def close(self) -> dict[str, int]:
        """Closes the HTTP client and stops all processes.

        Returns:
            Exit status by name of the processes that were still running.
        """
        await self.client.close()
        return await self.children.close()

    async def start_system(self) -> None:
        """Starts the fabric and all hosts, and waits until they are healthy.

        Raises:
            DeploymentError: A host isn't healthy in time.
        """
        await self._start_stand_in("fabric", self.layout.fabric_settings())
        for host in self.layout.hosts:
            await self.start_host(host)
        await asyncio.gather(
            *(self.wait_host(host) for host in self.layout.hosts)
        )

    async def start_host(self, host: peers.Peer) -> None:
        """Starts the process of a control host or an entry host."""
        settings = self.layout.host_settings(host)
        await self.children.start(host.host, ["tamarackd"], settings)

    async def wait_host(self, host: peers.Peer) -> None:
        """Waits until a host responds to the health endpoint with success.

        Raises:
            DeploymentError: It doesn't in time, or its process has exited.
        """

        async def is_healthy() -> bool:
            self._check_running(host.host)
            response = await self.client.request(
                "GET", host.control, "/v1/health"
            )
            return (
                isinstance(response, http_client.Response)
                and response.status == _OK
            )

        await wait_until(is_healthy, f"{host.host} is healthy")

    async def start_targets(self) -> None:
        """Starts the targets and waits until all entry hosts know them.

        An entry host knows only the targets of its own failure domain.

        Raises:
            DeploymentError: An entry host doesn't know them in time.
        """
        settings = self.layout.target_settings()
        await self._start_stand_in("target", settings)
        for entry in self.layout.entries:
            await self.wait_targets(entry)

    async def wait_targets(self, entry: peers.Peer) -> None:
        """Waits until an entry host knows all targets of its domain."""
        expected = sum(
            member.domain == entry.domain
            for member in self.layout.target_specs()
        )

        async def knows_targets() -> bool:
            return await self._status_field(entry, "targets") >= expected

        await wait_until(
            knows_targets, f"{entry.host} knows {expected} targets"
        )

    async def start_callers(self, duration_s: float, grace_s: float) -> None:
        """Starts the caller process.

        Args:
            duration_s: Duration in seconds in which connections are opened.
            grace_s: Seconds after that for bounded connections to finish.
        """
        settings = self.layout.caller_settings(duration_s, grace_s)
        await self._start_stand_in("caller", settings)

    async def finish_callers(self, timeout_s: float) -> reports.CallerReport:
        """Waits until the caller process exits and returns its report.

        Raises:
            DeploymentError: It doesn't exit in time or reports a failure.
        """
        child = self.children.running["caller"]
        try:
            async with asyncio.timeout(timeout_s):
                status = await child.process.wait()
        except TimeoutError as error:
            raise DeploymentError(
                "the caller process did not exit in time"
            ) from error
        if status:
            raise DeploymentError(
                f"the caller process failed: {child.log_tail()}"
            )
        output = child.output_file.read_bytes()
        return msgspec.json.decode(output, type=reports.CallerReport)

    async def read_callers(self) -> reports.CallerReport | failure.Failure:
        """Returns the current report of the running caller process."""
        response = await self.client.request(
            "GET", self.layout.callers_http, "/v1/report"
        )
        if isinstance(response, failure.Failure):
            return response
        return msgspec.convert(response.body, reports.CallerReport)

    async def read_targets(self) -> list[servers.TargetReport]:
        """Returns the reports of all targets.

        Raises:
            DeploymentError: The target process doesn't respond.
        """
        response = await self.client.request(
            "GET", self.layout.targets_http, "/v1/targets"
        )
        if isinstance(response, failure.Failure):
            raise DeploymentError(response.detail)
        return msgspec.convert(
            response.body["targets"], list[servers.TargetReport]
        )

    async def submit(
        self, operations: list[dict[str, Any]], note: str
    ) -> requests.PatchVerdict:
        """Submits a patch based on the last accepted version.

        If a control host can't decide, the patch is sent to the next one. The
        patch id makes this safe: a patch is applied only once.

        Args:
            operations: JSON Patch operations (RFC 6902).
            note: Reason for the change, in a sentence.

        Raises:
            DeploymentError: No control host returns a final verdict in time.
        """
        body = {
            "patch_id": f"{self.layout.plan.name}-{self.version + 1}",
            "base_version": self.version,
            "operations": operations,
            "author": "lab",
            "note": note,
        }
        verdicts: list[requests.PatchVerdict] = []

        async def decided() -> bool:
            verdicts.clear()
            for host in self.layout.controls:
                verdicts.extend(await self._submit_to(host, body))
                if verdicts and _is_final(verdicts[-1]):
                    return True
            return False

        await wait_until(decided, f"verdict on patch {body['patch_id']}")
        if verdicts[-1].state is requests.PatchState.ACCEPTED:
            self.version = verdicts[-1].version
        return verdicts[-1]

    async def wait_version(self) -> None:
        """Waits until all entry hosts use the last accepted version."""
        for host in self.layout.entries:
            await self.wait_version_at(host)

    async def wait_version_at(self, host: peers.Peer) -> None:
        """Waits until the last accepted version is in force on a host.

        Raises:
            DeploymentError: It isn't in force in time.
        """

        async def is_in_force() -> bool:
            return await self._status_field(host, "version") >= self.version

        await wait_until(is_in_force, f"{host.host}: version {self.version}")

    async def versions(self) -> dict[str, list[int]]:
        """Returns the versions in force on entry hosts, by failure domain."""
        result: dict[str, list[int]] = {}
        for host in self.layout.entries:
            version = await self._status_field(host, "version")
            result.setdefault(host.domain, []).append(version)
        return result

    async def kill_entry(self, entry: peers.Peer) -> None:
        """Kills an entry host; the fabric isn't notified."""
        await self.children.running[entry.host].kill()

    async def replace_entry(self, lost: peers.Peer, name: str) -> peers.Peer:
        """Starts a new entry host as the replacement of a lost one.

        The fabric sends packets to it only after it has the configuration in
        force and knows the targets.

        Raises:
            DeploymentError: The new host isn't ready in time.
        """
        replacement = self.layout.replace(lost, name)
        endpoint = self.layout.data_endpoint(replacement)
        await self._put(self.layout.fabric_http, "/v1/hosts", endpoint)
        await self.start_host(replacement)
        await self.wait_host(replacement)
        await self.announce_entry_hosts(replacement.domain)
        await self.wait_version_at(replacement)
        await self.wait_targets(replacement)
        await self.update_fabric(replacement.domain)
        return replacement

    async def withdraw_entry(self, entry: peers.Peer) -> None:
        """Removes an entry host from the receivers of the fabric."""
        remaining = [
            endpoint
            for endpoint in self.layout.data_endpoints(entry.domain)
            if endpoint != self.layout.data_endpoint(entry)
        ]
        await self._put_entries(entry.domain, remaining)

    async def update_fabric(self, domain: str) -> None:
        """Makes the fabric send packets to all entry hosts of a domain."""
        await self._put_entries(domain, self.layout.data_endpoints(domain))

    async def announce_entry_hosts(self, domain: str) -> None:
        """Sends the endpoints of a domain's entry hosts to its targets."""
        await self._put(
            self.layout.targets_http,
            f"/v1/entries/{domain}",
            self.layout.control_endpoints(domain),
        )

    async def drain_target(self, address: str) -> None:
        """Makes a target announce that it is draining."""
        change = target_process.StateChange(requests.TargetState.DRAINING)
        await self._put(
            self.layout.targets_http, f"/v1/targets/{address}/state", change
        )

    async def _put_entries(self, domain: str, endpoints: object) -> None:
        """Replaces the entry hosts of a domain to which the fabric sends."""
        path = f"/v1/domains/{domain}/entries"
        await self._put(self.layout.fabric_http, path, endpoints)

    async def _put(self, at: peers.Endpoint, path: str, body: object) -> None:
        """Sends a PUT request to a stand-in.

        Raises:
            DeploymentError: The request fails.
        """
        response = await self.client.request("PUT", at, path, body)
        if isinstance(response, failure.Failure):
            raise DeploymentError(response.detail)
        if response.status != _OK:
            raise DeploymentError(f"PUT {path}: status {response.status}")

    async def _submit_to(
        self, host: peers.Peer, body: dict[str, Any]
    ) -> list[requests.PatchVerdict]:
        """Submits a patch and returns the verdict; empty if there is none."""
        response = await self.client.request(
            "POST", host.control, "/v1/patches", body
        )
        if isinstance(response, failure.Failure) or response.body is None:
            return []
        try:
            return [msgspec.convert(response.body, requests.PatchVerdict)]
        except msgspec.ValidationError:
            return []

    async def _status_field(self, host: peers.Peer, name: str) -> int:
        """Returns a field of a host's status; -1 without a valid response."""
        self._check_running(host.host)
        response = await self.client.request("GET", host.control, "/v1/status")
        if isinstance(response, failure.Failure) or response.status != _OK:
            return -1
        return int(response.body[name])

    async def _start_stand_in(
        self, kind: str, settings: msgspec.Struct
    ) -> None:
        """Starts a stand-in and waits until its log reports it ready."""
        child = await self.children.start(
            kind, [_PROGRAM, "lab", kind], settings
        )

        async def is_ready() -> bool:
            self._check_running(kind)
            return "ready" in child.log_file.read_text()

        await wait_until(is_ready, f"{kind} is ready")

    def _check_running(self, name: str) -> None:
        """Raises a DeploymentError if a process has exited."""
        child = self.children.running[name]
        if not child.is_running:
            raise DeploymentError(
                f"{name} exited unexpectedly: {child.log_tail()}"
            )


async def wait_until(
    condition: Callable[[], Awaitable[bool]], description: str
) -> None:
    """Polls a condition until it is true.

    Args:
        condition: Checked every `_POLL_S` seconds.
        description: The condition in words, for the error message.

    Raises:
        DeploymentError: It isn't true within `WAIT_TIMEOUT_S`.
    """
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        if time.monotonic() > end_s:
            raise DeploymentError(
                f"timed out after {WAIT_TIMEOUT_S:g} s: {description}"
            )
        await asyncio.sleep(_POLL_S)


def _is_final(verdict: requests.PatchVerdict) -> bool:
    """Returns False if another control host may still accept the patch."""
    return verdict.state not in (
        requests.PatchState.NO_QUORUM,
        requests.PatchState.UNKNOWN,
    )

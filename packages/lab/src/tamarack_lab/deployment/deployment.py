"""Runs a deployment: starts its processes and brings about changes."""

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

START_TIMEOUT_S = 30.0
_POLL_S = 0.2
_OK = 200
_LAB = "tamarack"


class DeploymentError(Exception):
    """A deployment didn't do what was asked of it."""


class Deployment:
    """A running deployment.

    Attributes:
        layout: Where everything is.
        children: Its processes.
        client: HTTP client.
        version: Version of the last accepted patch.
    """

    __slots__ = ("children", "client", "layout", "version")

    def __init__(self, layout: layouts.Layout, folder: pathlib.Path) -> None:
        """Creates a deployment that isn't started; needs a running loop.

        Args:
            layout: Where everything is.
            folder: Folder of settings, logs and state; must exist.
        """
        self.layout = layout
        self.children = child_processes.ChildProcesses(folder)
        self.client = http_client.HttpClient()
        self.version = 0

    async def close(self) -> dict[str, int]:
        """Stops all processes in order.

        Returns:
            Exit status by name of the processes that still ran.
        """
        await self.client.close()
        return await self.children.close()

    async def start_system(self) -> None:
        """Starts the fabric and all hosts, and waits until they answer.

        Raises:
            DeploymentError: A host doesn't answer in time.
        """
        await self._start_stand_in("fabric", self.layout.fabric_settings())
        for host in self.layout.hosts:
            await self.start_host(host)
        await asyncio.gather(
            *(self.wait_host(host) for host in self.layout.hosts)
        )

    async def start_host(self, host: peers.Peer) -> None:
        """Starts a host of the system."""
        settings = self.layout.host_settings(host)
        await self.children.start(host.host, ["tamarackd"], settings)

    async def wait_host(self, host: peers.Peer) -> None:
        """Waits until a host answers.

        Raises:
            DeploymentError: It doesn't in time, or has ended.
        """

        async def answers() -> bool:
            self._check_running(host.host)
            found = await self.client.request("GET", host.control, "/v1/health")
            return (
                isinstance(found, http_client.Response) and found.status == _OK
            )

        await wait_until(answers, f"{host.host} answers")

    async def start_targets(self) -> None:
        """Starts the targets and waits until every entry host knows its own.

        Raises:
            DeploymentError: That takes too long.
        """
        settings = self.layout.target_settings()
        await self._start_stand_in("target", settings)
        for entry in self.layout.entries:
            await self.wait_targets(entry)

    async def wait_targets(self, entry: peers.Peer) -> None:
        """Waits until an entry host knows the targets of its domain."""
        expected = sum(
            member.domain == entry.domain for member in self.layout.members()
        )

        async def knows() -> bool:
            return await self._status_field(entry, "targets") >= expected

        await wait_until(knows, f"{entry.host} knows {expected} targets")

    async def start_callers(self, duration_s: float, grace_s: float) -> None:
        """Starts the callers.

        Args:
            duration_s: Seconds during which connections are opened.
            grace_s: Seconds given to bounded connections after that.
        """
        settings = self.layout.caller_settings(duration_s, grace_s)
        await self._start_stand_in("caller", settings)

    async def finish_callers(self, timeout_s: float) -> reports.CallerReport:
        """Waits for the end of the callers and returns their report.

        Raises:
            DeploymentError: They don't end in time or without a report.
        """
        child = self.children.running["caller"]
        try:
            async with asyncio.timeout(timeout_s):
                status = await child.process.wait()
        except TimeoutError as error:
            raise DeploymentError("the callers don't end") from error
        if status:
            raise DeploymentError(f"the callers failed: {child.log_tail()}")
        output = child.output_file.read_bytes()
        return msgspec.json.decode(output, type=reports.CallerReport)

    async def read_callers(self) -> reports.CallerReport | failure.Failure:
        """Returns the report of the callers so far."""
        found = await self.client.request(
            "GET", self.layout.callers_http, "/v1/report"
        )
        if isinstance(found, failure.Failure):
            return found
        return msgspec.convert(found.body, reports.CallerReport)

    async def read_targets(self) -> list[servers.TargetReport]:
        """Returns the reports of all targets.

        Raises:
            DeploymentError: The target process doesn't answer.
        """
        found = await self.client.request(
            "GET", self.layout.targets_http, "/v1/targets"
        )
        if isinstance(found, failure.Failure):
            raise DeploymentError(found.detail)
        return msgspec.convert(
            found.body["targets"], list[servers.TargetReport]
        )

    async def submit(
        self, operations: list[dict[str, Any]], note: str
    ) -> requests.PatchVerdict:
        """Submits a patch on top of the last accepted version.

        A control host that can't accept it now is passed over; the patch id
        makes that safe.

        Args:
            operations: The patch (RFC 6902).
            note: Why, in a sentence.

        Raises:
            DeploymentError: No control host gives a final verdict in time.
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
        """Waits until the last accepted version is in force everywhere."""
        for host in self.layout.entries:
            await self.wait_version_at(host)

    async def wait_version_at(self, host: peers.Peer) -> None:
        """Waits until the last accepted version is in force at a host.

        Raises:
            DeploymentError: That takes too long.
        """

        async def is_in_force() -> bool:
            return await self._status_field(host, "version") >= self.version

        await wait_until(is_in_force, f"{host.host}: version {self.version}")

    async def versions(self) -> dict[str, list[int]]:
        """Returns the versions in force by failure domain."""
        found: dict[str, list[int]] = {}
        for host in self.layout.entries:
            version = await self._status_field(host, "version")
            found.setdefault(host.domain, []).append(version)
        return found

    async def kill_entry(self, entry: peers.Peer) -> None:
        """Kills an entry host; the fabric doesn't know of it yet."""
        await self.children.running[entry.host].kill()

    async def replace_entry(self, lost: peers.Peer, name: str) -> peers.Peer:
        """Starts a new entry host in the place of a lost one.

        The fabric sprays over it once it has the configuration in force and
        knows the targets.

        Raises:
            DeploymentError: That takes too long.
        """
        found = self.layout.replace(lost, name)
        endpoint = self.layout.data_endpoint(found)
        await self._put(self.layout.fabric_http, "/v1/hosts", endpoint)
        await self.start_host(found)
        await self.wait_host(found)
        await self.announce_entry_hosts(found.domain)
        await self.wait_version_at(found)
        await self.wait_targets(found)
        await self.update_fabric(found.domain)
        return found

    async def withdraw_entry(self, entry: peers.Peer) -> None:
        """Takes an entry host out of the fabric."""
        left = [
            endpoint
            for endpoint in self.layout.data_endpoints(entry.domain)
            if endpoint != self.layout.data_endpoint(entry)
        ]
        await self._put_entries(entry.domain, left)

    async def update_fabric(self, domain: str) -> None:
        """Makes the fabric spray over all entry hosts of a domain."""
        await self._put_entries(domain, self.layout.data_endpoints(domain))

    async def announce_entry_hosts(self, domain: str) -> None:
        """Tells the targets of a domain where its entry hosts are."""
        await self._put(
            self.layout.targets_http,
            f"/v1/entries/{domain}",
            self.layout.control_endpoints(domain),
        )

    async def drain_target(self, address: str) -> None:
        """Makes a target announce that it is leaving."""
        change = target_process.StateChange(requests.TargetState.DRAINING)
        await self._put(
            self.layout.targets_http, f"/v1/targets/{address}/state", change
        )

    async def _put_entries(self, domain: str, endpoints: object) -> None:
        """Replaces the entry hosts that the fabric sprays over."""
        path = f"/v1/domains/{domain}/entries"
        await self._put(self.layout.fabric_http, path, endpoints)

    async def _put(self, at: peers.Endpoint, path: str, body: object) -> None:
        """Sends an order to a stand-in."""
        found = await self.client.request("PUT", at, path, body)
        if isinstance(found, failure.Failure):
            raise DeploymentError(found.detail)
        if found.status != _OK:
            raise DeploymentError(f"PUT {path}: status {found.status}")

    async def _submit_to(
        self, host: peers.Peer, body: dict[str, Any]
    ) -> list[requests.PatchVerdict]:
        """Returns the verdict of a control host, if it gives one."""
        found = await self.client.request(
            "POST", host.control, "/v1/patches", body
        )
        if isinstance(found, failure.Failure) or found.body is None:
            return []
        try:
            return [msgspec.convert(found.body, requests.PatchVerdict)]
        except msgspec.ValidationError:
            return []

    async def _status_field(self, host: peers.Peer, name: str) -> int:
        """Returns a number of a host's status; -1 without an answer."""
        self._check_running(host.host)
        found = await self.client.request("GET", host.control, "/v1/status")
        if isinstance(found, failure.Failure) or found.status != _OK:
            return -1
        return int(found.body[name])

    async def _start_stand_in(
        self, kind: str, settings: msgspec.Struct
    ) -> None:
        """Starts a stand-in and waits until it is ready."""
        child = await self.children.start(kind, [_LAB, "lab", kind], settings)

        async def is_ready() -> bool:
            self._check_running(kind)
            return "ready" in child.log_file.read_text()

        await wait_until(is_ready, f"{kind} is ready")

    def _check_running(self, name: str) -> None:
        """Checks that a process has not ended."""
        child = self.children.running[name]
        if not child.is_running:
            raise DeploymentError(f"{name} has ended: {child.log_tail()}")


async def wait_until(
    condition: Callable[[], Awaitable[bool]], what: str
) -> None:
    """Waits until a condition holds.

    Raises:
        DeploymentError: It doesn't within `START_TIMEOUT_S`.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while not await condition():
        if time.monotonic() > end_s:
            raise DeploymentError(f"not within {START_TIMEOUT_S:g} s: {what}")
        await asyncio.sleep(_POLL_S)


def _is_final(verdict: requests.PatchVerdict) -> bool:
    """Returns True unless another control host may still accept the patch."""
    return verdict.state not in (
        requests.PatchState.NO_QUORUM,
        requests.PatchState.UNKNOWN,
    )

"""Settings of `tamarackd`: loads and checks the JSON file."""

import dataclasses
import ipaddress
import itertools
import pathlib
from typing import Any

import msgspec

from tamarack_core import assembly
from tamarack_core import peers as peers_lib

MAX_PORT = 65535
MAX_VOTERS = 7
LOG_LEVELS = ("debug", "info", "warning", "error")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one host.

    Attributes:
        host: Name that is unique in the system.
        domain: Failure domain of the host.
        roles: Roles of the host: entry, relay, control.
        control: Address and port of HTTP and of messages from other hosts.
        data: Address and port of Geneve; required for the entry role.
        control_listen: Address and port to bind instead of `control`, if
            other hosts reach this one at a translated address.
        data_listen: Address and port to bind instead of `data`.
        fabric: Address and port of the fabric; required for the entry role.
        peers: Other hosts that this host knows when it starts.
        data_folder: Folder of durable state; required for the control role.
        voters: Names of the control hosts that are the first voters of the
            replicated log, beginning with the one that bootstraps it; by
            default a host with the control role is the only voter.
        key_file: File with the keys that sign messages between hosts; without
            it, messages are neither signed nor verified.
        seed: Seed of the random generator; drawn at random if None.
        log_level: Lowest level that is logged.
    """

    host: str
    domain: str
    roles: tuple[assembly.Role, ...]
    control: peers_lib.Endpoint
    data: peers_lib.Endpoint | None = None
    control_listen: peers_lib.Endpoint | None = None
    data_listen: peers_lib.Endpoint | None = None
    fabric: peers_lib.Endpoint | None = None
    peers: tuple[peers_lib.Peer, ...] = ()
    data_folder: str = ""
    voters: tuple[str, ...] = ()
    key_file: str = ""
    seed: int | None = None
    log_level: str = "info"

    def peer(self) -> peers_lib.Peer:
        """Returns this host with the endpoints that other hosts use."""
        return peers_lib.Peer(self.host, self.domain, self.control, self.data)

    def upstream_peers(self) -> tuple[peers_lib.Peer, ...]:
        """Returns the hosts to fetch the configuration from.

        An entry host uses the relays of its failure domain, or the voters if
        there are none. A relay uses the voters. Without `voters`, every peer
        without a data endpoint is used. A relay among the peers is one without
        a data endpoint that is not a voter.
        """
        if assembly.Role.CONTROL in self.roles:
            return ()
        without_entry_role = tuple(
            peer
            for peer in self.peers
            if peer.data is None or peer.host in self.voters
        )
        relays = tuple(
            peer
            for peer in without_entry_role
            if peer.domain == self.domain and peer.host not in self.voters
        )
        is_relay = assembly.Role.RELAY in self.roles
        if self.voters and relays and not is_relay:
            return relays
        if self.voters:
            return tuple(
                peer for peer in self.peers if peer.host in self.voters
            )
        return without_entry_role

    def fallback_peers(self) -> tuple[peers_lib.Peer, ...]:
        """Returns the hosts to query as well if a source doesn't respond."""
        if assembly.Role.CONTROL in self.roles:
            return ()
        return tuple(peer for peer in self.peers if peer.host in self.voters)

    def voter_peers(self) -> tuple[peers_lib.Peer, ...]:
        """Returns the first voters of the replicated log, in order."""
        known = {peer.host: peer for peer in (*self.peers, self.peer())}
        is_alone = not self.voters and assembly.Role.CONTROL in self.roles
        names = (self.host,) if is_alone else self.voters
        return tuple(known[name] for name in names)


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An invalid setting.

    Attributes:
        path: JSON path of the setting.
        value: The invalid value.
        fix: How to correct it.
    """

    path: str
    value: object
    fix: str

    def __str__(self) -> str:
        """Returns the error message, on one line."""
        return f"{self.path}: {self.value!r}: {self.fix}"


def load(path: pathlib.Path) -> Settings | list[Problem]:
    """Returns the settings in a file, or all problems found in it.

    Args:
        path: The settings file.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        return [Problem("$", str(path), f"can't be read: {error.strerror}")]
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return [Problem("$", str(path), f"is not JSON: {error}")]
    return parse(document)


def parse(document: Any) -> Settings | list[Problem]:
    """Returns the settings in a decoded document, or all its problems.

    Args:
        document: The decoded JSON.
    """
    if not isinstance(document, dict):
        return [Problem("$", document, "use a JSON object")]
    problems = _check_fields(document)
    if problems:
        return problems
    settings = msgspec.convert(document, Settings)
    problems = _check_values(settings)
    return problems or settings


def _check_fields(document: dict[str, Any]) -> list[Problem]:
    """Returns the fields that are unknown, missing or of the wrong type."""
    fields = {field.name: field for field in msgspec.structs.fields(Settings)}
    problems = [
        Problem(f"$.{name}", document[name], "unknown setting; remove it")
        for name in document
        if name not in fields
    ]
    for name, field in fields.items():
        if name not in document:
            if field.required:
                problems.append(Problem(f"$.{name}", None, "add this setting"))
            continue
        try:
            msgspec.convert(document[name], field.type)
        except msgspec.ValidationError as error:
            problems.append(Problem(f"$.{name}", document[name], str(error)))
    return problems


def _check_values(settings: Settings) -> list[Problem]:
    """Returns problems of values, alone and in combination."""
    problems = list(
        itertools.chain(
            _check_endpoint("$.control", settings.control),
            _check_endpoint("$.data", settings.data),
            _check_endpoint("$.control_listen", settings.control_listen),
            _check_endpoint("$.data_listen", settings.data_listen),
            _check_endpoint("$.fabric", settings.fabric),
            *(
                _check_endpoint(f"$.peers[{index}].control", peer.control)
                for index, peer in enumerate(settings.peers)
            ),
            *(
                _check_endpoint(f"$.peers[{index}].data", peer.data)
                for index, peer in enumerate(settings.peers)
            ),
        )
    )
    problems.extend(_check_names(settings))
    problems.extend(_check_roles(settings))
    return problems


def _check_endpoint(
    path: str, endpoint: peers_lib.Endpoint | None
) -> list[Problem]:
    """Returns the problems of an address and port."""
    if endpoint is None:
        return []
    problems = []
    try:
        ipaddress.ip_address(endpoint.address)
    except ValueError:
        fix = "use an IPv4 or IPv6 address"
        problems.append(Problem(path, endpoint.address, fix))
    if not 0 < endpoint.port <= MAX_PORT:
        fix = f"use a port from 1 to {MAX_PORT}"
        problems.append(Problem(path, endpoint.port, fix))
    return problems


def _check_names(settings: Settings) -> list[Problem]:
    """Returns the problems of names and the log level."""
    problems = [
        Problem(f"$.{name}", value, "use a non-empty name")
        for name, value in (
            ("host", settings.host),
            ("domain", settings.domain),
        )
        if not value
    ]
    names = [settings.host, *(peer.host for peer in settings.peers)]
    problems.extend(
        Problem("$.peers", name, "use each host name once")
        for name in sorted({name for name in names if names.count(name) > 1})
    )
    if settings.log_level not in LOG_LEVELS:
        fix = f"use one of {', '.join(LOG_LEVELS)}"
        problems.append(Problem("$.log_level", settings.log_level, fix))
    return problems


def _check_roles(settings: Settings) -> list[Problem]:
    """Returns the problems of the roles and of the settings they require."""
    problems = []
    if not settings.roles:
        fix = "name at least one of entry, relay, control"
        problems.append(Problem("$.roles", settings.roles, fix))
    if assembly.Role.ENTRY in settings.roles:
        problems.extend(
            Problem(f"$.{name}", None, "the entry role requires this setting")
            for name, value in (
                ("data", settings.data),
                ("fabric", settings.fabric),
            )
            if value is None
        )
    known = {settings.host, *(peer.host for peer in settings.peers)}
    problems.extend(
        Problem("$.voters", name, "name this host or one of $.peers")
        for name in settings.voters
        if name not in known
    )
    if len(settings.voters) > MAX_VOTERS:
        fix = f"name at most {MAX_VOTERS} hosts"
        problems.append(Problem("$.voters", settings.voters, fix))
    if assembly.Role.CONTROL in settings.roles and not settings.data_folder:
        fix = "set a folder; the control role requires one"
        problems.append(Problem("$.data_folder", "", fix))
    return problems

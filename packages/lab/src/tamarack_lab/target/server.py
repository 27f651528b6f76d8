"""One target: its connections, requests, announcements and reports."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import ipaddress
import time

import msgspec

from tamarack_core import configuration
from tamarack_core import requests
from tamarack_lab import attachment as attachments
from tamarack_lab import exchange
from tamarack_lab.target import settings as target_settings
from tamarack_lab.target import work
from tamarack_lab.tcp import connection as connections

ConnectionEvent = connections.ConnectionEvent
_END_EVENTS = (
    ConnectionEvent.CLOSED,
    ConnectionEvent.RESET,
    ConnectionEvent.TIMED_OUT,
    ConnectionEvent.REFUSED,
)


class ReportOverride(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """False values that a target reports in place of the true ones.

    Attributes:
        healthy: Reported health; None for the true one.
        load: Reported work units in use; None for the true number.
    """

    healthy: bool | None = None
    load: float | None = None


class LateConnection(msgspec.Struct, frozen=True):
    """A connection that a target accepted while draining.

    Attributes:
        caller: Address and port of the caller.
        work_class: Work class.
        after_s: Seconds from the start of draining to the connection.
    """

    caller: str
    work_class: str
    after_s: float


class TargetReport(msgspec.Struct, frozen=True):
    """Counters and state of a target.

    Attributes:
        service: Service of the target.
        address: IP address.
        domain: Failure domain.
        state: Ready or draining.
        connections: Number of open connections.
        opened: Number of accepted connections by work class.
        refused: Number of connections refused at the connection limit.
        requests: Number of executed requests by work class.
        repeated: Number of requests that ran more than once.
        work: Work units of all requests so far.
        in_use: Work units of running and queued requests.
        late: Connections accepted while draining.
    """

    service: str
    address: str
    domain: str
    state: requests.TargetState
    connections: int
    opened: dict[str, int]
    refused: int
    requests: dict[str, int]
    repeated: int
    work: float
    in_use: float
    late: tuple[LateConnection, ...] = ()


@dataclasses.dataclass(slots=True)
class TargetServer:
    """Serves the requests of a target and reports its state.

    Attributes:
        spec: Service, address and failure domain.
        service: Settings of the service.
        attachment: Sends and receives packets through the fabric.
        slots: Runs the requests.
        state: Ready or draining.
        override: False values to report in place of the true ones.
        open: Number of open connections.
        opened: Number of accepted connections by work class.
        refused: Connections refused at the connection limit, each with the
            sequence number of its SYN. The number identifies a
            retransmission: a caller on a delayed event loop repeats its SYN
            while the refusal is on its way, which must not count twice.
        run_counts: Number of executions by request identifier.
        request_counts: Number of executed requests by work class.
        work_units: Work units of all requests so far.
        draining_since_s: Monotonic time of the latest change of state, which
            is the start of draining while draining, in seconds.
        late: Connections accepted while draining.
    """

    spec: target_settings.TargetSpec
    service: target_settings.Service
    attachment: attachments.Attachment
    slots: work.Slots
    state: requests.TargetState = requests.TargetState.READY
    override: ReportOverride = dataclasses.field(default_factory=ReportOverride)
    open: int = 0
    opened: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: set[tuple[connections.FourTuple, int]] = dataclasses.field(
        default_factory=set
    )
    run_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    request_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    work_units: float = 0.0
    draining_since_s: float = 0.0
    late: list[LateConnection] = dataclasses.field(default_factory=list)

    def listen(self) -> None:
        """Accepts connections and datagrams at all ports of the service."""
        packed = ipaddress.ip_address(self.spec.address).packed
        stack = self.attachment.stack
        for port in self.service.ports:
            listener = _Listener(self, port)
            if port.protocol is configuration.Protocol.UDP:
                stack.datagram_handlers[(packed, port.port)] = listener.answer
            else:
                stack.listeners[(packed, port.port)] = listener.accept

    def run(
        self,
        port: target_settings.Port,
        request: exchange.Request,
        reply: Callable[[bytes], None],
    ) -> None:
        """Runs a request and replies when it is completed.

        Args:
            port: Port that received the request.
            request: The request.
            reply: Called with the encoded answer.
        """
        self.run_counts[request.id] += 1
        self.request_counts[port.work_class] += 1
        self.work_units += port.cost
        answer = exchange.Answer(
            id=request.id,
            service=self.spec.service,
            work_class=port.work_class,
            target=self.spec.address,
            filling="." * request.answer_bytes,
        )
        self.slots.submit(
            work.Job(port.cost, lambda: reply(exchange.encode(answer)))
        )

    def announcement(
        self, lease_s: float, incarnation: int
    ) -> requests.Announce:
        """Returns the announcement of the target, with overridden values."""
        return requests.Announce(
            service=self.spec.service,
            address=self.spec.address,
            domain=self.spec.domain,
            state=self.state,
            slots=self.service.slots,
            connections=self.service.connections,
            incarnation=incarnation,
            lease_s=lease_s,
            load=self.reported_load(),
            healthy=self.reported_health(),
        )

    def reported_health(self) -> bool:
        """Returns the health that the target reports."""
        return True if self.override.healthy is None else self.override.healthy

    def reported_load(self) -> float:
        """Returns the work units in use that the target reports."""
        return (
            self.slots.in_use
            if self.override.load is None
            else self.override.load
        )

    def report(self) -> TargetReport:
        """Returns the counters and the state of the target."""
        return TargetReport(
            service=self.spec.service,
            address=self.spec.address,
            domain=self.spec.domain,
            state=self.state,
            connections=self.open,
            opened=dict(self.opened),
            refused=len(self.refused),
            requests=dict(self.request_counts),
            repeated=sum(1 for count in self.run_counts.values() if count > 1),
            work=self.work_units,
            in_use=self.slots.in_use,
            late=tuple(self.late),
        )

    def set_state(self, state: requests.TargetState) -> None:
        """Sets the state that the target announces from now on."""
        if state is not self.state:
            self.draining_since_s = time.monotonic()
        self.state = state

    def count_connection(
        self, port: target_settings.Port, four_tuple: connections.FourTuple
    ) -> None:
        """Counts an accepted connection, or a UDP request as one.

        While the target is draining, the connection is recorded in `late`.
        """
        self.opened[port.work_class] += 1
        if self.state is requests.TargetState.READY:
            return
        after_s = time.monotonic() - self.draining_since_s
        address = ipaddress.ip_address(four_tuple.remote_address)
        self.late.append(
            LateConnection(
                f"{address}:{four_tuple.remote_port}", port.work_class, after_s
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Listener:
    """Accepts the connections of one port.

    Attributes:
        server: The target.
        port: The port.
    """

    server: TargetServer
    port: target_settings.Port

    def accept(
        self, four_tuple: connections.FourTuple, sequence: int
    ) -> connections.Application | None:
        """Returns the application of a new connection, or None to refuse it.

        Args:
            four_tuple: Addresses and ports of the connection.
            sequence: Sequence number of the SYN.
        """
        if self.server.open >= self.server.service.connections:
            self.server.refused.add((four_tuple, sequence))
            return None
        self.server.open += 1
        self.server.count_connection(self.port, four_tuple)
        return _Session(self.server, self.port)

    def answer(self, four_tuple: connections.FourTuple, payload: bytes) -> None:
        """Runs the requests of a datagram; a malformed one is dropped."""
        reader = exchange.LineReader(exchange.Request)
        send = self.server.attachment.send_datagram
        try:
            for request in reader.feed(payload):
                self.server.count_connection(self.port, four_tuple)
                self.server.run(
                    self.port, request, functools.partial(send, four_tuple)
                )
        except msgspec.DecodeError:
            return


class _Session:
    """Runs the requests of one connection.

    Attributes:
        server: The target.
        port: The port.
        reader: Splits the stream into requests.
    """

    __slots__ = ("port", "reader", "server")

    def __init__(
        self, server: TargetServer, port: target_settings.Port
    ) -> None:
        """Initializes a session without requests.

        Args:
            server: The target.
            port: The port.
        """
        self.server = server
        self.port = port
        self.reader = exchange.LineReader(exchange.Request)

    def notify(
        self, connection: connections.Connection, event: ConnectionEvent
    ) -> None:
        """Handles an event of the connection."""
        if event is ConnectionEvent.READABLE:
            self._read(connection)
        elif event is ConnectionEvent.ENDED:
            connection.finish()
        elif event in _END_EVENTS:
            self.server.open -= 1

    def _read(self, connection: connections.Connection) -> None:
        """Runs the received requests, or resets a malformed stream."""
        try:
            for request in self.reader.feed(connection.read()):
                self._run(connection, request)
        except msgspec.DecodeError:
            connection.abort()
            self.server.open -= 1

    def _run(
        self, connection: connections.Connection, request: exchange.Request
    ) -> None:
        """Runs a request and replies unless the connection is closed."""

        def reply(answer: bytes) -> None:
            if connection.state is not connections.State.CLOSED:
                connection.write(answer)
                self.server.attachment.flush_soon(connection)

        self.server.run(self.port, request, reply)

"""Entry host that forwards by cookies; tests feed it events and time."""

import ipaddress

import msgspec

from tamarack_core import cookie_entry
from tamarack_core import documents
from tamarack_core import effects
from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import flow_packets
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal import target_tags
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_table

SERVICE_ADDRESS = "198.18.0.1"
SERVICE_PORT = 443
CALLER_PORT = 9000
DOMAIN = "a"


class FakeCodec:
    """Codec that writes MessagePack, so that a test can read sent packets."""

    def decode(self, data: bytes) -> flow_packets.FlowPacket | failure.Failure:
        """Returns the packet in a datagram."""
        fields = msgspec.msgpack.decode(data)
        if not fields:
            return failure.Failure("short-packet")
        fields["flow"] = tuple(fields["flow"])
        return flow_packets.FlowPacket(**fields, data=data)

    def encode_forward(
        self, packet: flow_packets.FlowPacket, target: str, cookie: int
    ) -> bytes:
        """Returns an encoded record of the target and its cookie."""
        return msgspec.msgpack.encode(["forward", target, cookie])

    def encode_reset(
        self, key: flow_packets.FlowKey, acknowledged: int
    ) -> tuple[peers.Endpoint, bytes]:
        """Returns the endpoint of the caller and an encoded reset."""
        address = str(ipaddress.IPv4Address(key[0]))
        endpoint = peers.Endpoint(address, CALLER_PORT)
        return endpoint, msgspec.msgpack.encode(["reset"])


def flow(number: int) -> tuple[int, int, int, int]:
    """Returns the key of the flow with a number to the service."""
    service = int(ipaddress.IPv4Address(SERVICE_ADDRESS))
    return (0x64400000 + number, 40000 + number, service, SERVICE_PORT)


def packet(
    number: int,
    *,
    is_opening: bool = False,
    is_reset: bool = False,
    is_last: bool = False,
    cookie: int = 0,
    copy_number: int = 0,
    sequence: int = 1,
    acknowledged: int = 1,
    payload_bytes: int = 0,
) -> bytes:
    """Returns a packet of the flow with a number."""
    fields = {
        "flow": flow(number),
        "is_opening": is_opening,
        "is_reset": is_reset,
        "is_last": is_last,
        "cookie": cookie,
        "copy_number": copy_number,
        "sequence": sequence,
        "acknowledged": acknowledged,
        "payload_bytes": payload_bytes,
    }
    return msgspec.msgpack.encode(fields)


def target(
    name: str,
    *,
    service: str = "web",
    born_ms: int = 1000,
    sequence: int = 1,
    phase: target_announcement.Phase = target_announcement.Phase.READY,
    cold_ms: int = 0,
    port: int = 80,
    slots: int = 2,
) -> target_announcement.Announcement:
    """Returns an announcement of a target."""
    return target_announcement.Announcement(
        name=name,
        born_ms=born_ms,
        sequence=sequence,
        service=service,
        endpoint=peers.Endpoint("10.0.0.1", port),
        domain=DOMAIN,
        slots=slots,
        phase=phase,
        cold_ms=cold_ms,
    )


def domain_target(name: str, domain: str) -> target_announcement.Announcement:
    """Returns an announcement of a target of a failure domain."""
    return msgspec.structs.replace(target(name), domain=domain)


def document(
    number: int,
    service: str = "web",
    *,
    base: int = 0,
    port: int = SERVICE_PORT,
    warm_ups: tuple[sync.WarmUp, ...] = (),
) -> sync.DocumentUpdate:
    """Returns a document with one route."""
    route = sync.RouteChange(
        SERVICE_ADDRESS,
        port,
        (documents.WeightedService(service, 1),) if service else (),
        documents.WorkKind.IDEMPOTENT,
        1500.0,
    )
    return sync.DocumentUpdate(base, number, (route,), 15000.0, warm_ups)


def control(name: str, domain: str = DOMAIN) -> peers.Peer:
    """Returns the peer of a control host."""
    last = sum(name.encode()) % 250 + 1
    return peers.Peer(name, domain, peers.Endpoint(f"10.9.0.{last}", 7000))


class CookieHost:
    """Entry host with a clock that the test advances.

    Attributes:
        now_s: Time in seconds.
        node: State of the host.
        sent: Messages that the host sent, in order.
        records: Time line entries that the host recorded.
        probes: Probes that the host sent.
        probe_numbers: Number of the last probe of each target.
        resets: Endpoints of the callers to which a reset was sent.
    """

    def __init__(
        self,
        seed: int = 1,
        controls: tuple[str, ...] = ("c1",),
        now_s: float = 100.0,
        name: str = "entry",
        **settings: float,
    ) -> None:
        """Starts the host.

        Args:
            seed: Seed of the random generator of the host.
            controls: Names of the control hosts that its settings name.
            now_s: Time of the start, in seconds.
            name: Name of the host.
            settings: Other settings of the host.
        """
        self.now_s = now_s
        own = peers.Peer(name, DOMAIN, peers.Endpoint("10.0.0.9", 7000))
        seeds = tuple(control(name) for name in controls)
        plan = cookie_entry.Plan(own, seed, seeds, FakeCodec(), **settings)
        self.node = cookie_entry.assemble(plan)
        self.sent: list[effects.SendMessage] = []
        self.records: list[effects.Record] = []
        self.probes: list[effects.ProbeTarget] = []
        self.probe_numbers: dict[str, int] = {}
        self.resets: list[peers.Endpoint] = []
        self.handle(events.Started(self.now_s, 0))

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Applies an event, records its effects and returns them."""
        result = reducer.reduce(self.node, event)
        for effect in result:
            if isinstance(effect, effects.SendMessage):
                self.sent.append(effect)
            if isinstance(effect, effects.Record):
                self.records.append(effect)
            if isinstance(effect, effects.ProbeTarget):
                self.probes.append(effect)
                self.probe_numbers[effect.target] = effect.number
            if isinstance(effect, effects.SendDatagram):
                self._record_reset(effect)
        return result

    @property
    def probed(self) -> list[str]:
        """Names of the targets that the host probed, in order."""
        return [probe.target for probe in self.probes]

    def _record_reset(self, effect: effects.SendDatagram) -> None:
        """Records the receiver of a reset."""
        if msgspec.msgpack.decode(effect.data)[0] == "reset":
            assert effect.endpoint is not None
            self.resets.append(effect.endpoint)

    def complete_probe(self, name: str, *, is_answered: bool) -> None:
        """Delivers the result of the probe of a target."""
        self.end_probe(
            name,
            events.ProbeOutcome.ACCEPTED
            if is_answered
            else events.ProbeOutcome.UNANSWERED,
        )

    def end_probe(
        self,
        name: str,
        outcome: events.ProbeOutcome,
        number: int | None = None,
    ) -> None:
        """Delivers what the last probe of a target found, or another one."""
        if number is None:
            number = self.probe_numbers.get(name, 0)
        self.handle(events.TargetProbed(self.now_s, name, outcome, number))

    def tick(self, seconds: float) -> None:
        """Advances the time and fires the periodic timers of the host."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s = min(self.now_s + 0.1, end_s)
            for timer in ("mirror", "forwarding"):
                self.handle(events.TimerFired(self.now_s, timer))

    def update(
        self,
        *known: target_announcement.KnownTarget
        | target_announcement.Announcement,
        sender: peers.Peer | None = None,
        run: str = "run",
        base: int = 0,
        position: int = 1,
        is_settled: bool = True,
        document: sync.DocumentUpdate | None = None,
        controls: tuple[peers.Peer, ...] = (),
        entry_hosts: int = 0,
        is_confirmed: bool = True,
        evacuated: evacuations.Evacuations | None = None,
        allotments: sync.AllotmentUpdate | None = None,
        tag_uses: dict[str, target_announcement.TagUse] | None = None,
    ) -> None:
        """Delivers a sync update of a control host."""
        message = sync.SyncUpdate(
            run=run,
            base=base,
            position=position,
            is_settled=is_settled,
            targets=tuple(
                item
                if isinstance(item, target_announcement.KnownTarget)
                else target_announcement.KnownTarget(item)
                for item in known
            ),
            controls=controls,
            document=document,
            entry_hosts=entry_hosts,
            is_confirmed=is_confirmed,
            evacuations=evacuated,
            allotments=allotments,
            tag_uses=tag_uses or {},
        )
        peer = sender or control("c1")
        self.handle(events.MessageArrived(self.now_s, peer, message))

    def deliver(self, data: bytes) -> list[object]:
        """Delivers a packet; returns the decoded datagram sent for it."""
        result = self.handle(events.DatagramArrived(self.now_s, data))
        datagrams = [
            effect
            for effect in result
            if isinstance(effect, effects.SendDatagram)
        ]
        return msgspec.msgpack.decode(datagrams[0].data) if datagrams else []

    def open(self, number: int, copy_number: int = 0) -> str:
        """Sends an opening packet.

        Returns:
            The chosen target; "reset" if it was refused; "" if it was dropped.
        """
        sent = self.deliver(
            packet(number, is_opening=True, copy_number=copy_number)
        )
        if sent and sent[0] == "forward":
            return str(sent[1])
        return str(sent[0]) if sent else ""

    def send(
        self,
        number: int,
        name: str,
        *,
        acknowledged: int = 1,
        sequence: int = 1,
        payload_bytes: int = 0,
        is_last: bool = False,
    ) -> str:
        """Sends a packet of an open flow.

        Returns:
            The target that got it; "reset" if the flow was reset; "" if the
            packet was dropped.
        """
        sent = self.deliver(
            packet(
                number,
                cookie=target_tags.tag_of(name),
                acknowledged=acknowledged,
                sequence=sequence,
                payload_bytes=payload_bytes,
                is_last=is_last,
            )
        )
        if sent and sent[0] == "forward":
            return str(sent[1])
        return str(sent[0]) if sent else ""

    @property
    def tracker(self) -> flow_tracker.FlowTracker:
        """Flows and targets as the host observes them."""
        component = self.node.datagram_handler.__self__
        return component.tracker

    @property
    def targets(self) -> target_table.TargetTable:
        """Targets that the host knows."""
        component = self.node.datagram_handler.__self__
        return component.targets

    def is_ready(self) -> bool:
        """Returns whether the host reports that it is ready for packets."""
        result = self.handle(
            events.RequestArrived(
                self.now_s, 1, external_requests.ReadReadiness()
            )
        )
        respond = result[0]
        assert isinstance(respond, effects.Respond)
        assert isinstance(respond.response, external_requests.Readiness)
        return respond.response.is_ready

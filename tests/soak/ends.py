"""Simulated callers, targets and routers with the platform's packets."""

import asyncio
import ipaddress
import json
import random
import socket
import zlib

from tamarack_platform import packets
from tests.soak import hosts as hosts_lib
from tests.soak import plan

SERVICES = {"agenda": 80, "informe": 81}
SERVICE_ADDRESS = "198.18.0.1"
OPENING_WAITS_S = (0.2, 0.4, 0.8)
RETRANSMIT_WAITS_S = (0.2, 0.4, 0.8, 1.6)
REQUEST_PAUSE_S = 0.25
REQUESTS = 6
TARGET_CHECKSUM = 1
"""Checksum in packets of targets; resets by the system have 0."""


def number(address):
    """Returns an IPv4 address as the number in a packet head."""
    return int(ipaddress.IPv4Address(address))


def encode(source, destination, flags, seq, ack, echo=0, data=b"", total=0):
    """Returns a packet between two (address, port) pairs."""
    head = packets._header.pack(
        seq,
        ack,
        destination[1],
        source[1],
        number(destination[0]),
        number(source[0]),
        total,
        flags,
        echo,
        len(data),
    )
    return head + data


def decode(data):
    """Returns the fields of a packet and its payload."""
    seq, ack, dport, sport, dst, src, total, flags, echo, _ = (
        packets._header.unpack_from(data)
    )
    ends = ((src, sport), (dst, dport))
    return ends, flags, seq, ack, total, echo, data[packets.HEADER_BYTES :]


class Target(asyncio.DatagramProtocol):
    """Server that runs each request once and replies.

    Attributes:
        name: Identifier in the platform's form.
        service: Its service.
        domain: Its failure domain.
        address: IP address, which a restart keeps.
        starts: Number of its starts.
        is_alive: Whether it runs.
        drained_s: Time at which its drain was acknowledged, or None.
    """

    def __init__(self, index, network, promises):
        self.index = index
        self.name = f"i-{0xA0000000 + index:08x}"
        self.service = list(SERVICES)[index % len(SERVICES)]
        self.domain = plan.DOMAINS[index % len(plan.DOMAINS)]
        self.address = f"{network}.{40 + index}"
        self.promises = promises
        self.starts = 0
        self.is_alive = False
        self.is_draining = False
        self.drained_s = None
        self.flows = {}
        self.random = random.Random(index)
        self.server = None
        self.transport = None

    @property
    def port(self):
        """Port at which it receives packets and connections."""
        return 8080

    async def start(self):
        """Starts the target without any flows of the start before."""
        self.starts += 1
        self.flows = {}
        self.is_draining, self.drained_s = False, None
        loop = asyncio.get_running_loop()
        if self.transport is None:
            self.transport, _ = await loop.create_datagram_endpoint(
                lambda: self, (self.address, self.port)
            )
        self.server = await asyncio.start_server(
            _close, self.address, self.port
        )
        self.is_alive = True

    def close(self):
        """Ends the target permanently."""
        self.crash()
        self.transport.close()

    def crash(self):
        """Ends the target abruptly."""
        self.is_alive = False
        if self.server is not None:
            self.server.close()
            self.server = None

    def datagram_received(self, data, sender):
        """Handles a packet from an entry host."""
        if not self.is_alive:
            return
        tag, packet = int.from_bytes(data[:8], "big"), data[8:]
        if tag not in (0, int(self.name[2:], 16)):
            return
        ends, flags, seq, ack, _, echo, payload = decode(packet)
        _, service = ends
        if service[1] in SERVICES.values() and (
            service[1] != SERVICES[self.service]
        ):
            self.promises.record_violation(
                f"{self.name} gets a packet for {service}"
            )
            return
        if flags & packets.OPENING_FLAG:
            self._open(ends, seq, echo, sender[0])
        elif payload:
            self._run(ends, seq, ack, echo, payload)

    def _open(self, ends, seq, echo, entry):
        """Accepts an opening, or replies again to its copy."""
        if ends not in self.flows:
            self.promises.record_opening(self.name, self.drained_s)
            self.promises.record_domain(self.name, self.domain, entry)
            initial = self.random.getrandbits(31)
            self.flows[ends] = [initial, seq + 1, initial + 1, None]
        initial, expected, _, _ = self.flows[ends]
        flags = packets.OPENING_FLAG | packets.ACKNOWLEDGMENT_FLAG
        self._send(ends, flags, initial, expected, echo)

    def _run(self, ends, seq, ack, echo, payload):
        """Runs a request, or replies again to its copy."""
        flow = self.flows.get(ends)
        if flow is None:
            self._send(ends, packets.RESET_FLAG, ack, 0, echo)
            return
        _, expected, following, answer = flow
        if seq == expected and ack == following:
            request = payload.decode()
            self.promises.record_run(request, self.name)
            answer = (following, json.dumps([request, self.service]).encode())
            flow[1] = expected + len(payload)
            flow[2] = following + len(answer[1])
            flow[3] = answer
        if answer is not None:
            self._send(
                ends,
                packets.ACKNOWLEDGMENT_FLAG,
                answer[0],
                flow[1],
                echo,
                answer[1],
            )

    def _send(self, ends, flags, seq, ack, echo, data=b""):
        """Sends a packet to a caller directly."""
        caller, service = ends
        packet = encode(
            (service[0], service[1]),
            (caller[0], caller[1]),
            flags,
            seq,
            ack,
            echo,
            data,
            TARGET_CHECKSUM,
        )
        destination = str(ipaddress.IPv4Address(caller[0]))
        self.transport.sendto(packet, (destination, hosts_lib.DATA_PORT))


async def _close(reader, writer):
    """Closes an accepted connection, which is enough for a probe."""
    writer.close()


class Routers:
    """Platform routers, which hash flows over the ready entry hosts.

    Attributes:
        ready: Addresses of the entry hosts in rotation.
    """

    def __init__(self, entries):
        self.entries = [host.address for host in entries]
        self.ready = []

    async def poll(self):
        """Polls the entry hosts twice a second; removes unresponsive ones."""
        misses = dict.fromkeys(self.entries, 2)
        while True:
            results = await asyncio.gather(*map(self._is_ready, self.entries))
            for address, is_ready in zip(self.entries, results, strict=True):
                misses[address] = 0 if is_ready else misses[address] + 1
            ready = [one for one in self.entries if misses[one] < 2]
            is_half = 2 * len(ready) >= len(self.entries)
            self.ready = ready if is_half else self.entries
            await asyncio.sleep(0.5)

    async def _is_ready(self, address):
        """Returns whether an entry host reports that it is ready."""
        answer = await call(address, hosts_lib.READY_PORT, "GET", "/ready", 0.4)
        return answer is not None and answer[0] == 200

    def pick(self, key):
        """Returns the current entry host of a flow."""
        return self.ready[zlib.crc32(repr(key).encode()) % len(self.ready)]


class Caller(asyncio.DatagramProtocol):
    """Opens flows from one address."""

    def __init__(self, address, routers, targets, promises):
        self.address = address
        self.routers = routers
        self.targets = {target.name: target for target in targets}
        self.promises = promises
        self.flows = {}
        self.ports = iter(range(2000, 65000))
        self.transport = None

    def datagram_received(self, data, sender):
        """Passes a packet to its flow."""
        ends, *fields = decode(data)
        flow = self.flows.get(ends[1][1])
        if flow is not None:
            flow.inbox.put_nowait(fields)

    async def try_open(self, entry, port):
        """Opens a flow through an entry host and returns the outcome."""
        local_port = next(self.ports)
        flow = Flow(self, local_port, ("probe", port), f"probe-{local_port}")
        self.flows[local_port] = flow
        flow.entry = entry
        try:
            return await flow.open()
        finally:
            del self.flows[local_port]

    def send(self, data, key, entry=None):
        """Sends a packet to the given entry host or to the routers' choice."""
        if entry is not None:
            self.transport.sendto(data, (entry, hosts_lib.DATA_PORT))
            return
        if self.routers.ready:
            destination = (self.routers.pick(key), hosts_lib.DATA_PORT)
            self.transport.sendto(data, destination)

    async def run(self, name, service, until_s):
        """Runs one flow after another until a time of the run."""
        for index, port in enumerate(self.ports):
            if self.promises.now_s > until_s:
                return
            destination = (service, SERVICES[service])
            flow = Flow(self, port, destination, f"{name}-{index}")
            self.flows[port] = flow
            await flow.run()
            del self.flows[port]


class Flow:
    """Connection that sends requests one after the other."""

    def __init__(self, caller, port, service, name):
        self.caller = caller
        self.promises = caller.promises
        self.name = name
        self.source = (caller.address, port)
        self.expects, port = service
        self.service = (SERVICE_ADDRESS, port)
        self.entry = None
        self.inbox = asyncio.Queue()
        self.echo = 0
        self.seq, self.ack = 1000, 0
        self.target = None
        self.sent = []

    async def run(self):
        """Opens the flow and sends its requests."""
        started_s = self.promises.now_s
        outcome = await self.open()
        if outcome != "opened":
            self.promises.record_unserved(self.name, outcome, started_s)
            return
        for index in range(REQUESTS):
            started_s = self.promises.now_s
            outcome = await self._request(f"{self.name}-{index}")
            if outcome != "served":
                if outcome == "unanswered":
                    self.promises.record_unserved(self.name, outcome, started_s)
                return
            await asyncio.sleep(REQUEST_PAUSE_S)

    def _send(self, flags, ack, data=b""):
        """Sends a packet through the routers."""
        packet = encode(
            self.source, self.service, flags, self.seq, ack, self.echo, data
        )
        self.caller.send(packet, self.source, self.entry)

    async def _receive(self, wait_s):
        """Returns the next packet, or None."""
        try:
            return await asyncio.wait_for(self.inbox.get(), wait_s)
        except TimeoutError:
            return None

    async def open(self):
        """Opens the flow and returns the outcome."""
        for copy, wait_s in enumerate(OPENING_WAITS_S):
            self._send(packets.OPENING_FLAG, copy)
            received = await self._receive(wait_s)
            if received is None:
                continue
            flags, seq, _, _, echo, _ = received
            if flags & packets.RESET_FLAG:
                self.promises.record_refused(self.sent)
                await asyncio.sleep(REQUEST_PAUSE_S)
                return "refused"
            self.seq, self.ack, self.echo = self.seq + 1, seq + 1, echo
            self._send(packets.ACKNOWLEDGMENT_FLAG, self.ack)
            return "opened"
        return "unopened"

    async def _request(self, request):
        """Sends a request until its reply and returns the outcome."""
        self.sent.append(request)
        data = request.encode()
        for wait_s in RETRANSMIT_WAITS_S:
            self._send(packets.ACKNOWLEDGMENT_FLAG, self.ack, data)
            end_s = self.promises.now_s + wait_s
            while (left_s := end_s - self.promises.now_s) > 0:
                received = await self._receive(left_s)
                if received is None:
                    break
                outcome = self._handle_packet(request, data, received)
                if outcome:
                    return outcome
        return "unanswered"

    def _handle_packet(self, request, data, received):
        """Returns the outcome of a request by a packet, or an empty string."""
        flags, seq, _, total, echo, payload = received
        if flags & packets.RESET_FLAG:
            if total != TARGET_CHECKSUM:
                self._record_reset()
            return "reset"
        if not payload or seq != self.ack:
            return ""
        answered, service = json.loads(payload)
        if (answered, service) != (request, self.expects):
            self.promises.record_violation(
                f"{request} gets the answer {payload!r}"
            )
        self.promises.counts["served"] += 1
        self.seq += len(data)
        self.ack += len(payload)
        self.echo = echo
        self._send(packets.ACKNOWLEDGMENT_FLAG, self.ack)
        return "served"

    def _record_reset(self):
        """Records a reset by the system and whether the target is alive."""
        ran = [run for name in self.sent for run in self.promises.runs[name]]
        target = self.caller.targets.get(ran[-1]) if ran else None
        is_alive = target is not None and target.is_alive
        self.promises.record_reset(self.name, ran[-1:] or "?", is_alive)


async def call(address, port, method, path, timeout_s, body=None):
    """Sends an HTTP request; returns status, headers and body, or None."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(head.encode() + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    head, _, content = answer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    if not lines[0].startswith("HTTP/1.1 "):
        return None
    pairs = (line.partition(":") for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return int(lines[0].split()[1]), headers, content


def reset_connection(writer):
    """Resets a connection, so that its response is lost."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()

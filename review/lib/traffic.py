"""Stand-ins of a server, a client and the routers, as PROTOCOL.md has them.

Nothing here retransmits data, as loopback loses none. A server keeps its flows
until a FIN, a reset or its own end.
"""

import itertools
import json
import random
import socket
import struct
import threading
import time
import zlib

import deployment as lib

HEAD = struct.Struct("<IIHHIIIBIH")
SYN, ACK, FIN, RST, BOUNCED = 8, 16, 2, 4, 128
RESET_WINDOW = 76_800
BEAT_S = 1.2
_KEY = 0x5EED1234


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


def pack(seq, ack, src, sport, dst, dport, flags, echo, data=b""):
    body = struct.pack(
        "<IIHHIIBH", seq, ack, dport, sport, dst, src, flags, len(data)
    )
    total = zlib.crc32(body + data, _KEY)
    return (
        HEAD.pack(
            seq, ack, dport, sport, dst, src, total, flags, echo, len(data)
        )
        + data
    )


class Packet:
    """One decoded packet."""

    def __init__(self, data):
        (
            self.seq,
            self.ack,
            self.dport,
            self.sport,
            self.dst,
            self.src,
            self.sum,
            self.flags,
            self.echo,
            length,
        ) = HEAD.unpack_from(data)
        self.data = data[HEAD.size :]
        if length != len(self.data):
            raise ValueError("length")

    def has(self, flag):
        return bool(self.flags & flag)

    @property
    def is_genuine(self):
        body = struct.pack(
            "<IIHHIIBH",
            self.seq,
            self.ack,
            self.dport,
            self.sport,
            self.dst,
            self.src,
            self.flags & ~BOUNCED,
            len(self.data),
        )
        return self.sum == zlib.crc32(body + self.data, _KEY)


class _ServerFlow:
    def __init__(self, client_seq):
        self.own = random.getrandbits(32)
        self.next_seq = (self.own + 1) & 0xFFFFFFFF
        self.expected = (client_seq + 1) & 0xFFFFFFFF
        self.is_open = False
        self.echo = 0
        self.buffer = b""
        self.is_finished = False


class Server:
    """One start of a server."""

    def __init__(
        self,
        deployment,
        control,
        service,
        zone,
        address,
        port,
        name,
        clock_offset_s=0.0,
    ):
        self.record = deployment.record
        self.control = control
        self.service = service
        self.zone = zone
        self.address = address
        self.port = port
        self.name = name
        self.state = "ready"
        # By its own time of day, which may differ from that of other machines.
        self.born = int((time.time() + clock_offset_s) * 1000)
        self.flows = {}
        self.runs = []
        self.openings = []
        self.is_alive = True
        self.is_beating = True
        self.acknowledged = {}
        self.work_s = 0.02
        self._number = int(name.rpartition("-")[2], 16)
        self._sequence = itertools.count(1)
        self._beat_address = None
        self._turn = random.randrange(100)
        self._lock = threading.Lock()
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((address, port))
        self._tcp = socket.socket()
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._tcp.bind((address, port))
        self._tcp.listen(64)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._receive, self._serve_health)
        ]
        for thread in self._threads:
            thread.start()
        threading.Thread(target=self._beat, daemon=True).start()

    # Heartbeats.

    def heartbeat(self):
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": next(self._sequence),
            "born": self.born,
        }

    def _call_control(self, path, body):
        """Calls a control host; moves on to the next without a 2xx."""
        for _ in range(6):
            address = self._beat_address
            if address is None:
                self._turn += 1
                address = self.control[self._turn % len(self.control)].address
            answer = lib.http_call(
                "POST", address, lib.CONTROL_PORT, path, body
            )
            if answer is not None and answer[0] // 100 == 2:
                wanted = json.loads(answer[2] or b"{}").get("heartbeat-addr")
                self._beat_address = wanted.split(":")[0] if wanted else None
                return address
            self._beat_address = None
        return None

    def beat_now(self):
        beat = self.heartbeat()
        address = self._call_control(
            f"/instances/{self.name}/heartbeat", beat
        )
        if address is not None and beat["state"] not in self.acknowledged:
            self.acknowledged[beat["state"]] = time.monotonic()
            self.record(
                f"server {self.name}: {beat['state']} acknowledged by {address}"
            )
        return address

    def _beat(self):
        while self.is_alive:
            if self.is_beating:
                self.beat_now()
            time.sleep(BEAT_S)

    def deregister(self):
        return self._call_control(
            f"/instances/{self.name}/deregister", {"born": self.born}
        )

    def stop(self):
        self.is_alive = False
        for opened in (self._udp, self._tcp):
            try:
                # Wakes the thread that waits on the socket.
                opened.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        for thread in self._threads:
            thread.join(1.0)
        self._udp.close()
        self._tcp.close()
        self.record(f"server {self.name}: ended")

    # Health.

    def _serve_health(self):
        while self.is_alive:
            try:
                connection, _ = self._tcp.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer_health, args=(connection,), daemon=True
            ).start()

    def _answer_health(self, connection):
        with connection:
            connection.settimeout(1.0)
            try:
                if connection.recv(4096):
                    status = "200 OK" if self.state == "ready" else "503 No"
                    connection.sendall(
                        f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
            except OSError:
                pass

    # Packets.

    def _receive(self):
        while self.is_alive:
            try:
                data = self._udp.recv(4096)
            except OSError:
                return
            if not self.is_alive:
                return
            intended = int.from_bytes(data[:8], "big")
            if intended not in (0, self._number):
                continue
            packet = Packet(data[8:])
            if not packet.is_genuine:
                self.record(f"server {self.name}: a packet was changed")
                continue
            self._handle(packet)

    def _send(self, packet, flow, flags, seq, data=b""):
        answer = pack(
            seq,
            flow.expected,
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            flow.echo,
            data,
        )
        self._udp.sendto(answer, (text(packet.src), lib.DATAGRAM_PORT))

    def _reset(self, packet):
        answer = pack(
            packet.ack,
            0,
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            RST,
            packet.echo,
        )
        self._udp.sendto(answer, (text(packet.src), lib.DATAGRAM_PORT))
        self.record(f"server {self.name}: resets port {packet.sport}")

    def _handle(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        with self._lock:
            flow = self.flows.get(key)
            if packet.has(SYN):
                if flow is None:
                    flow = self.flows[key] = _ServerFlow(packet.seq)
                    self.openings.append(
                        (time.monotonic(), text(packet.src), packet.sport)
                    )
                flow.echo = packet.echo
                self._send(packet, flow, SYN | ACK, flow.own)
                return
            if flow is None:
                if packet.data or not packet.has(FIN | RST | ACK):
                    self._reset(packet)
                return
            flow.echo = packet.echo
            if packet.has(RST):
                del self.flows[key]
                return
            if not flow.is_open:
                if packet.ack != flow.next_seq:
                    return
                flow.is_open = True
                self.record(
                    f"server {self.name}: flow open from port {packet.sport}"
                )
            if packet.data and packet.seq == flow.expected:
                flow.expected = (flow.expected + len(packet.data)) & 0xFFFFFFFF
                flow.buffer += packet.data
                self._send(packet, flow, ACK, flow.next_seq)
            if packet.has(FIN):
                flow.expected = (flow.expected + 1) & 0xFFFFFFFF
                self._send(packet, flow, FIN | ACK, flow.next_seq)
                del self.flows[key]
                return
            if b"\r\n\r\n" in flow.buffer:
                request, _, flow.buffer = flow.buffer.partition(b"\r\n\r\n")
                threading.Thread(
                    target=self._run, args=(packet, flow, request), daemon=True
                ).start()

    def _run(self, packet, flow, request):
        lines = request.decode().split("\r\n")
        attempt = next(
            line.split(": ")[1]
            for line in lines
            if line.startswith("X-Attempt-Id")
        )
        self.runs.append((time.monotonic(), attempt))
        self.record(f"server {self.name}: runs {attempt} ({self.service})")
        time.sleep(self.work_s)
        if not self.is_alive:
            return
        body = f"{self.name} {attempt}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: "
            + f"{zlib.crc32(body):08x}".encode()
            + f"\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        with self._lock:
            seq = flow.next_seq
            flow.next_seq = (flow.next_seq + len(answer)) & 0xFFFFFFFF
            self._send(packet, flow, ACK, seq, answer)
            if self.state == "draining":
                self._send(packet, flow, FIN | ACK, flow.next_seq)
                key = (packet.src, packet.sport, packet.dst, packet.dport)
                self.flows.pop(key, None)


class Client:
    """One client with a long flow through the routers of its zone."""

    def __init__(self, deployment, address, entries, service, name):
        self.record = deployment.record
        self.address = address
        self.entries = entries
        self.service = service
        self.name = name
        self.resets = []
        self.answers = []
        self.opened_at = None
        self._ports = itertools.count(random.randint(1, 60) * 1_000)
        self._attempts = itertools.count(1)
        self._arrived = threading.Condition()
        self._packets = []
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((address, lib.DATAGRAM_PORT))
        threading.Thread(target=self._receive, daemon=True).start()
        self.server = None
        self.is_open = False
        self.has_ended = False

    def _receive(self):
        while True:
            try:
                data = self._udp.recv(4096)
            except OSError:
                return
            packet = Packet(data)
            with self._arrived:
                if packet.dport == getattr(self, "port", None):
                    self._packets.append(packet)
                    self._observe(packet)
                self._arrived.notify_all()

    def _observe(self, packet):
        if packet.has(RST):
            distance = (packet.seq - self._ack) & 0xFFFFFFFF
            distance = min(distance, (1 << 32) - distance)
            if not self.is_open or distance <= RESET_WINDOW:
                own = packet.is_genuine
                self.resets.append((time.monotonic(), self.is_open, own))
                self.record(
                    f"client {self.name}: port {self.port} is reset by"
                    f" {'its server' if own else 'the system'},"
                    f" open: {self.is_open}, server {self.server}"
                )
                self.is_open = False
            return
        self._echo = packet.echo
        if packet.has(FIN) and not packet.has(SYN):
            self.has_ended = True

    def _entry(self):
        """The routers hash the addresses and ports over the hosts (`mod`)."""
        key = f"{self.address}:{self.port}>{self.service}"
        return self.entries[zlib.crc32(key.encode()) % len(self.entries)]

    def _send(self, flags, data=b"", ack=None):
        address, port = self.service
        packet = pack(
            self._seq,
            self._ack if ack is None else ack,
            number(self.address),
            self.port,
            number(address),
            port,
            flags,
            self._echo,
            data,
        )
        self._udp.sendto(packet, (self._entry().address, lib.DATAGRAM_PORT))

    def open(self):
        """Opens a flow; returns whether it opened."""
        with self._arrived:
            self.port = next(self._ports)
            self._packets.clear()
            self._seq = random.getrandbits(32)
            self._ack = 0
            self._echo = 0
            self.is_open = False
            self.has_ended = False
        started_s = time.monotonic()
        for copy, at_s in enumerate((0.0, 0.2, 0.6)):
            resets = len(self.resets)
            time.sleep(max(0.0, started_s + at_s - time.monotonic()))
            self._send(SYN, ack=copy)
            until_s = started_s + (0.2, 0.6, 1.4)[copy]
            with self._arrived:
                while time.monotonic() < until_s:
                    if len(self.resets) > resets:
                        self.record(f"client {self.name}: flow refused")
                        return False
                    found = [p for p in self._packets if p.has(SYN)]
                    if found:
                        self._seq = (self._seq + 1) & 0xFFFFFFFF
                        self._ack = (found[0].seq + 1) & 0xFFFFFFFF
                        self._echo = found[0].echo
                        self.is_open = True
                        break
                    self._arrived.wait(max(0.001, until_s - time.monotonic()))
            if self.is_open:
                self._send(ACK)
                self.opened_at = time.monotonic()
                return True
        self.record(f"client {self.name}: no answer to the opening packets")
        return False

    def request(self, timeout_s=1.5):
        """Sends a request on the open flow; returns the body or None."""
        attempt = f"{self.name}-{next(self._attempts)}"
        data = (
            f"GET / HTTP/1.1\r\nHost: {self.service[0]}\r\n"
            f"X-Attempt-Id: {attempt}\r\n\r\n"
        ).encode()
        with self._arrived:
            self._packets.clear()
        self._send(ACK, data)
        self._seq = (self._seq + len(data)) & 0xFFFFFFFF
        end_s = time.monotonic() + timeout_s
        with self._arrived:
            while time.monotonic() < end_s and self.is_open:
                for packet in self._packets:
                    if packet.data and packet.seq == self._ack:
                        self._ack = (self._ack + len(packet.data)) & 0xFFFFFFFF
                        body = packet.data.partition(b"\r\n\r\n")[2].decode()
                        self.answers.append((time.monotonic(), body))
                        self.server = body.split()[0]
                        self.record(f"client {self.name}: {attempt} answered")
                        self._send(ACK)
                        return body
                self._arrived.wait(max(0.001, end_s - time.monotonic()))
        self.record(f"client {self.name}: {attempt} not answered")
        return None

    def close(self):
        if self.is_open:
            self._send(FIN | ACK)
            self.is_open = False


def wait_ready(entries, for_s=20.0):
    """Waits until the routers have all hosts in rotation."""
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        answers = [
            lib.http_call("GET", host.address, lib.READY_PORT, "/ready")
            for host in entries
        ]
        if all(answer is not None and answer[0] == 200 for answer in answers):
            return
        time.sleep(0.1)
    raise lib.CannotRunError("an entry host is not ready")

"""Both ends of a flow: servers, clients, and the routers between them.

Packets are those of PROTOCOL.md, in the form `echo`. The keyed sum is known to
the two ends only; here it is a CRC-32 with a key.
"""

import asyncio
import itertools
import json
import random
import socket
import struct
import time
import zlib

from lib2 import http
from lib2 import platform

SYN, ACK, FIN, RST = 8, 16, 2, 4
HEAD = struct.Struct("<IIHHIIIBIH")
WORK_S = 0.03
COPIES_S = (0.2, 0.4)
OPEN_LIMIT_S = 1.4
DEADLINE_S = 1.5
_KEY = b"known to both ends only"


def number(address):
    return struct.unpack("!I", socket.inet_aton(address))[0]


def text(value):
    return socket.inet_ntoa(struct.pack("!I", value))


class Packet:
    """One packet; `key` is (src, sport, dst, dport) as the sender wrote it."""

    def __init__(self, key, flags, seq, ack, echo, data=b"", total=None):
        self.key, self.flags, self.seq, self.ack = key, flags, seq, ack
        self.echo, self.data = echo, data
        self.total = self.checksum() if total is None else total

    def checksum(self):
        head = HEAD.pack(
            self.seq,
            self.ack,
            self.key[3],
            self.key[1],
            self.key[2],
            self.key[0],
            0,
            self.flags,
            0,
            len(self.data),
        )
        return zlib.crc32(_KEY + head + self.data)

    def encode(self):
        return (
            HEAD.pack(
                self.seq,
                self.ack,
                self.key[3],
                self.key[1],
                self.key[2],
                self.key[0],
                self.total,
                self.flags,
                self.echo,
                len(self.data),
            )
            + self.data
        )

    @classmethod
    def decode(cls, raw):
        seq, ack, dport, sport, dst, src, total, flags, echo, size = (
            HEAD.unpack_from(raw)
        )
        data = raw[HEAD.size : HEAD.size + size]
        return cls((src, sport, dst, dport), flags, seq, ack, echo, data, total)

    def is_genuine(self):
        return self.total == self.checksum()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, source):
        self.receive(data, source)


async def bind(address, port, receive):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _Datagrams(receive), local_addr=(address, port)
    )
    return transport


class Server:
    """A server: takes flows, announces itself, drains and leaves."""

    def __init__(self, record, name, service, zone, address, port, controls):
        self.record, self.name, self.service = record, name, service
        self.zone, self.address, self.port = zone, address, port
        self.controls = list(controls)
        self.number = int(name.rpartition("-")[2], 16)
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.heartbeat_address = ""
        self.flows = {}
        self.openings = []
        self.runs = []
        self.drained = None
        self.is_up = False
        self._tasks = []
        self._wake = asyncio.Event()

    async def start(self):
        self.is_up = True
        self._udp = await bind(self.address, self.port, self._receive)
        self._tcp = await asyncio.start_server(
            self._answer_health, self.address, self.port
        )
        self._tasks.append(asyncio.create_task(self._beat()))
        self.record(
            f"server {self.name} ({self.service}) starts at"
            f" {self.address}:{self.port} in {self.zone}, born {self.born}"
        )

    def crash(self):
        """Ends at once and says nothing."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._udp.close()
        self._tcp.close()
        self.record(f"server {self.name} ends")

    async def _answer_health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            status = "200 OK" if self.state == "ready" else "503 Unavailable"
            writer.write(
                f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.close()

    def heartbeat(self):
        """Returns the next heartbeat of this server."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self):
        while self.is_up:
            await self.announce()
            try:
                await asyncio.wait_for(self._wake.wait(), platform.HEARTBEAT_S)
            except TimeoutError:
                pass
            self._wake.clear()

    async def announce(self):
        """Sends one heartbeat; the next node is called until one answers."""
        others = random.sample(self.controls, len(self.controls))
        first = [self.heartbeat_address] if self.heartbeat_address else []
        for address in [*first, *others]:
            body = self.heartbeat()
            try:
                status, _, data = await http.call(
                    address,
                    "POST",
                    f"/instances/{self.name}/heartbeat",
                    json.dumps(body).encode(),
                )
            except (OSError, TimeoutError):
                if address == self.heartbeat_address:
                    self.heartbeat_address = ""
                continue
            if status // 100 != 2 or len(data) > 4096:
                continue
            self.heartbeat_address = (
                json.loads(data or b"{}").get("heartbeat-addr", "") or address
            )
            if body["state"] == "draining" and self.drained is None:
                self.drained = (self.record.now(), address)
                self.record(
                    f"server {self.name} is leaving: acknowledged by {address}"
                )
            return

    def drain(self):
        self.state = "draining"
        self._wake.set()

    async def leave(self):
        """Deregisters and ends."""
        for address in random.sample(self.controls, len(self.controls)):
            try:
                status, _, _ = await http.call(
                    address,
                    "POST",
                    f"/instances/{self.name}/deregister",
                    json.dumps({"born": self.born}).encode(),
                )
            except (OSError, TimeoutError):
                continue
            if status // 100 == 2:
                break
        self.crash()

    def _receive(self, raw, source):
        if len(raw) < 8 + HEAD.size:
            return
        intended = struct.unpack_from(">Q", raw)[0]
        if intended not in (0, self.number):
            return
        packet = Packet.decode(raw[8:])
        if not packet.is_genuine():
            self.record(f"server {self.name} gets a forged packet")
            return
        key = packet.key
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {
                    "isn": random.getrandbits(31),
                    "opened": False,
                    "answer": b"",
                    "next": packet.seq + 1,
                    "busy": False,
                }
                self.openings.append((self.record.now(), key, source[0]))
                self.record(
                    f"server {self.name} takes the opening of"
                    f" {text(key[0])}:{key[1]} through {source[0]}"
                )
            flow["echo"] = packet.echo
            self._send(key, SYN | ACK, flow["isn"], packet.seq + 1, packet.echo)
            return
        if flow is None:
            if not packet.flags & RST:
                self._send(key, RST, packet.ack, 0, packet.echo)
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["opened"]:
            if packet.ack != flow["isn"] + 1:
                return
            flow["opened"] = True
        if packet.data:
            if packet.seq == flow["next"] and not flow["busy"]:
                flow["busy"] = True
                flow["next"] += len(packet.data)
                self._tasks.append(
                    asyncio.create_task(self._run(key, flow, packet.data))
                )
            elif not flow["busy"] and flow["answer"]:
                self._answer(key, flow)
        elif packet.flags & FIN:
            sent = flow["isn"] + 1 + flow.get("sent", 0)
            self._send(key, FIN | ACK, sent, packet.seq + 1, packet.echo)
            flow["closed"] = True
        elif flow.get("closed"):
            del self.flows[key]

    async def _run(self, key, flow, request):
        self.runs.append((self.record.now(), request))
        await asyncio.sleep(WORK_S)
        flow["answer"] = f"{self.name} ran {request.decode()}".encode()
        flow["base"] = flow["isn"] + 1 + flow.get("sent", 0)
        flow["sent"] = flow.get("sent", 0) + len(flow["answer"])
        flow["busy"] = False
        self._answer(key, flow)

    def _answer(self, key, flow):
        self._send(
            key, ACK, flow["base"], flow["next"], flow["echo"], flow["answer"]
        )

    def _send(self, key, flags, seq, ack, echo, data=b""):
        back = (key[2], key[3], key[0], key[1])
        packet = Packet(back, flags, seq, ack, echo, data)
        if not self._udp.is_closing():
            self._udp.sendto(
                packet.encode(), (text(key[0]), platform.DATA_PORT)
            )


class Clients:
    """Clients of one zone at one address, and the zone's router."""

    def __init__(self, record, zone, address, entries):
        self.record, self.zone, self.address = record, zone, address
        self.entries = entries
        self.rotation = []
        self.misses = dict.fromkeys(entries, 2)
        self.waiting = {}
        self.ports = itertools.count(random.randint(20000, 30000))
        self.sent = self.served = self.failed = 0
        self.resets = []
        self._tasks = []

    async def start(self):
        self._udp = await bind(self.address, platform.DATA_PORT, self._receive)
        self._tasks.append(asyncio.create_task(self._poll()))

    def close(self):
        for task in self._tasks:
            task.cancel()
        self._udp.close()

    async def _poll(self):
        while True:
            for entry in self.entries:
                try:
                    status, _, _ = await http.call(
                        f"{entry}:{platform.READY_PORT}",
                        "GET",
                        "/ready",
                        timeout_s=0.4,
                    )
                    is_ready = status == 200
                except (OSError, TimeoutError):
                    is_ready = False
                self.misses[entry] = 0 if is_ready else self.misses[entry] + 1
            self.rotation = [e for e in self.entries if self.misses[e] < 2]
            await asyncio.sleep(0.5)

    def _forward(self, packet):
        nodes = self.rotation or self.entries
        node = nodes[zlib.crc32(struct.pack("<IHIH", *packet.key)) % len(nodes)]
        self._udp.sendto(packet.encode(), (node, platform.DATA_PORT))
        return node

    def _receive(self, raw, source):
        packet = Packet.decode(raw)
        key = (packet.key[2], packet.key[3], packet.key[0], packet.key[1])
        queue = self.waiting.get(key)
        if queue is not None:
            queue.put_nowait((packet, source))

    async def open(self, host, port):
        """Opens a flow; returns it, or None if that failed."""
        key = (number(self.address), next(self.ports), number(host), port)
        queue = self.waiting[key] = asyncio.Queue()
        isn = random.getrandbits(31)
        start_s = self.record.now()
        for copy in range(len(COPIES_S) + 1):
            self._forward(Packet(key, SYN, isn, copy, 0))
            left_s = OPEN_LIMIT_S - (self.record.now() - start_s)
            wait_s = COPIES_S[copy] if copy < len(COPIES_S) else left_s
            try:
                packet, _ = await asyncio.wait_for(queue.get(), wait_s)
            except TimeoutError:
                continue
            if packet.flags & (SYN | ACK) == SYN | ACK:
                return {
                    "key": key,
                    "seq": isn + 1,
                    "ack": packet.seq + 1,
                    "server_isn": packet.seq,
                    "echo": packet.echo,
                    "queue": queue,
                }
            break
        del self.waiting[key]
        return None

    async def request(self, flow, attempt):
        """Sends a request on an open flow; returns the answer or None."""
        data = attempt.encode()
        end_s = self.record.now() + DEADLINE_S
        pause_s = 0.2
        while self.record.now() < end_s:
            self._forward(
                Packet(
                    flow["key"],
                    ACK,
                    flow["seq"],
                    flow["ack"],
                    flow["echo"],
                    data,
                )
            )
            until_s = min(self.record.now() + pause_s, end_s)
            while (left_s := until_s - self.record.now()) > 0:
                try:
                    packet, source = await asyncio.wait_for(
                        flow["queue"].get(), left_s
                    )
                except TimeoutError:
                    break
                if packet.flags & RST:
                    self._observe_reset(flow, packet, source)
                    return None
                if packet.data and packet.seq == flow["ack"]:
                    flow["echo"] = packet.echo
                    flow["seq"] += len(data)
                    flow["ack"] += len(packet.data)
                    self._forward(
                        Packet(
                            flow["key"],
                            ACK,
                            flow["seq"],
                            flow["ack"],
                            flow["echo"],
                        )
                    )
                    return packet.data
            pause_s = min(2 * pause_s, 1.6)
        return None

    def _observe_reset(self, flow, packet, source):
        self.resets.append((self.record.now(), flow["key"], source[0]))
        self.record(
            f"client {self.address}:{flow['key'][1]} gets a reset from"
            f" {source[0]} ({'the server' if packet.is_genuine() else 'the system'})"
        )

    async def watch(self, flow, seconds):
        """Waits on an idle flow; returns whether it was reset."""
        end_s = self.record.now() + seconds
        while (left_s := end_s - self.record.now()) > 0:
            try:
                packet, source = await asyncio.wait_for(
                    flow["queue"].get(), left_s
                )
            except TimeoutError:
                return False
            if packet.flags & RST:
                self._observe_reset(flow, packet, source)
                return True
        return False

    def finish(self, flow):
        """Closes a flow after its last answer."""
        self._forward(
            Packet(
                flow["key"], FIN | ACK, flow["seq"], flow["ack"], flow["echo"]
            )
        )
        self._forward(
            Packet(
                flow["key"], ACK, flow["seq"] + 1, flow["ack"] + 1, flow["echo"]
            )
        )
        self.waiting.pop(flow["key"], None)

    async def exchange(self, host, port):
        """Sends one request on a flow of its own."""
        self.sent += 1
        attempt = f"{self.zone}-{self.sent}"
        flow = await self.open(host, port)
        answer = None if flow is None else await self.request(flow, attempt)
        if answer is None:
            self.failed += 1
            self.record(f"request {attempt} to {host}:{port} isn't served")
        else:
            self.served += 1
            self.finish(flow)
        return answer

    async def load(self, per_s, places):
        """Sends requests at a rate to each of some places in turn."""
        for host, port in itertools.cycle(places):
            task = asyncio.create_task(self.exchange(host, port))
            self._tasks.append(task)
            if len(self._tasks) > 2000:
                self._tasks = [t for t in self._tasks if not t.done()]
            await asyncio.sleep(random.uniform(0.5, 1.5) / per_s)

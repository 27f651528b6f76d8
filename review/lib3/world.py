"""A small deployment for the scripts of this review.

It starts the project's own programs with the commands of the deploy file, each
on a loopback address of its own, and plays the platform, the operator, the
servers and the clients as `PROTOCOL.md` describes them. Only what these see on
their sockets is recorded and judged.
"""

import asyncio
import contextlib
import ipaddress
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEAD = struct.Struct("<IIHHIIIBIH")
SYN, ACK, FIN, RST, BOUNCED = 8, 16, 2, 4, 128
KEY = b"only the two ends of a flow know this"
ZONES = ("stgo-a", "stgo-b", "rancagua")
HEARTBEAT_S = 1.2
SYN_WAITS_S = (0.2, 0.4, 0.8)  # copies after 200 and 600 ms, end at 1.4 s
RESET_WINDOW = 76_800


class CannotRun(Exception):
    """The case could not be set up."""


def number(address):
    return int(ipaddress.IPv4Address(address))


def text(address):
    return str(ipaddress.IPv4Address(address))


def keyed_sum(fields, data):
    """Sum over all fields except `echo`, `pad` and BOUNCED; never 0."""
    seq, ack, dport, sport, dst, src, flags = fields
    head = struct.pack(
        "<IIHHIIB", seq, ack, dport, sport, dst, src, flags & ~BOUNCED
    )
    return zlib.crc32(KEY + head + data) or 1


def encode(src, dst, flags, seq, ack, echo, data=b""):
    """A packet from one (number, port) to another."""
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    fields = (seq, ack, dst[1], src[1], dst[0], src[0], flags)
    return (
        HEAD.pack(
            seq, ack, dst[1], src[1], dst[0], src[0],
            keyed_sum(fields, data), flags, echo, len(data),
        )
        + data
    )


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        (self.seq, self.ack, dport, sport, dst, src, self.sum, self.flags,
         self.echo, length) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size :]
        self.src, self.dst = (src, sport), (dst, dport)
        self.whole = len(self.data) == length
        fields = (self.seq, self.ack, dport, sport, dst, src, self.flags)
        self.genuine = self.sum == keyed_sum(fields, self.data)
        self.by_system = self.sum == 0


class World:
    """Addresses, ports, processes and the record."""

    def __init__(self, folder, controls=3, entries=2):
        self.folder = pathlib.Path(folder)
        self.started_s = time.monotonic()
        self.record_file = (self.folder / "record.txt").open("w")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.random = random.Random()
        self.net = f"127.{self.random.randint(40, 220)}.{self.random.randint(1, 250)}"
        self.control_names = [f"core-{i}" for i in range(controls)]
        self.entry_names = [f"frontend-{i}" for i in range(entries)]
        self.hosts = {}
        for i, name in enumerate(self.control_names):
            self.hosts[name] = Host(self, name, "control", f"{self.net}.{11 + i}", ZONES[i % 3])
        for i, name in enumerate(self.entry_names):
            self.hosts[name] = Host(self, name, "frontend", f"{self.net}.{21 + i}", ZONES[i % 3])
        self.ports = self.find_ports(5)
        self.control_port, self.data_port, self.ready_port, self.internal, self.server_port = self.ports
        self.seeds = [self.hosts[n].address for n in self.control_names[:3]]
        self.breaks = []
        self.owners = {}  # service port -> service that the newest version names
        self.servers, self.clients = [], []
        self.acked = {}
        self.in_rotation = []
        self.tasks = []

    def find_ports(self, count):
        found = []
        addresses = [f"{self.net}.{i}" for i in (1, 11, 12, 13, 14, 21, 22, 41, 42, 43, 44, 81)]
        while len(found) < count:
            port = self.random.randint(20000, 30000)
            if any(abs(port - other) < 20 for other in found) or 9450 < port < 9470:
                continue
            try:
                for address in addresses:
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((address, port))
            except OSError:
                continue
            found.append(port)
        return found

    def now(self):
        return time.monotonic() - self.started_s

    def note(self, line):
        self.record_file.write(f"{self.now():8.3f} {line}\n")
        self.record_file.flush()

    def broken(self, rule, line):
        self.breaks.append(rule)
        self.note(f"BROKEN {rule}: {line}")

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def start_hosts(self, names=None):
        for name in names or self.hosts:
            self.hosts[name].start()

    def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts.values():
            host.kill()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def judge_run(self, server, attempt, key):
        """ROUTE: the service that runs a request must be one of its route."""
        wanted = self.owners[key[1][1]]
        if server.service not in wanted:
            self.broken("ROUTE", f"{attempt} is for {' or '.join(wanted)} and runs at"
                        f" server {server.id} of {server.service}")

    # the platform's routers
    async def route_packets(self):
        """Polls `/ready` twice a second; two misses end the rotation."""
        entries = [self.hosts[name] for name in self.entry_names]
        misses = {host.name: 2 for host in entries}
        while True:
            answers = await asyncio.gather(
                *(call(host.address, self.ready_port, "GET", "/ready", timeout_s=0.4)
                  for host in entries)
            )
            for host, answer in zip(entries, answers):
                ok = answer is not None and answer[0] == 200
                misses[host.name] = 0 if ok else misses[host.name] + 1
            ready = [h.address for h in entries if misses[h.name] < 2]
            self.in_rotation = ready if 2 * len(ready) >= len(entries) else [h.address for h in entries]
            await asyncio.sleep(0.5)

    def router(self, src, dst):
        """Address of the node that the hash `mod` picks for a flow."""
        key = repr((src, dst)).encode()
        return self.in_rotation[zlib.crc32(key) % len(self.in_rotation)]

    # the operator
    async def control_call(self, method, path, body=None, limit_s=20.0, first=None):
        """Calls `control` as an operator does; the final answer or None."""
        end = self.now() + limit_s
        order = [self.hosts[n].address for n in self.control_names]
        self.random.shuffle(order)
        if first:
            order.insert(0, first)
        pause, others = 0.1, 0
        for address in itertools.cycle(order):
            if self.now() > end:
                return None
            target, where = address, path
            for _ in range(3):
                answer = await call(target, self.control_port, method, where, body, 1.0)
                if answer is None or answer[0] != 307:
                    break
                location = answer[1].get("location", "")
                rest = location.removeprefix("http://")
                target, _, where = rest.partition("/")
                target, where = target.rpartition(":")[0], "/" + where
            self.note(f"operator {method} {path} at {address}: {answer and answer[0]}")
            if answer is not None:
                status = answer[0]
                if status == 200 or status in (400, 409, 412, 413, 422):
                    return answer
                if 400 <= status < 500 and status not in (408, 429):
                    others += 1
                    if others == 3:
                        return answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)

    async def publish(self, document, limit_s=20.0, first=None):
        answer = await self.control_call("POST", "/config/replace", document, limit_s, first)
        if answer is not None and answer[0] == 200:
            self.acked[document["version"]] = self.now()
            for item in document["routes"]:
                port = int(item["path-prefix"].strip("/"))
                named = [share["service"] for share in item.get("traffic-split", [])]
                self.owners.setdefault(port, set()).update(named or [item["service"]])
            self.note(f"version {document['version']} is acknowledged")
        return answer


class Host:
    """A machine with one role of the system."""

    def __init__(self, world, name, serves, address, zone):
        self.world, self.name, self.serves = world, name, serves
        self.address, self.zone = address, zone
        self.first = True
        self.process = None
        self.died = False
        self.folder = world.temporary / name

    def settings(self):
        w = self.world
        seeds = ",".join(f"{s}:{w.control_port}" for s in w.seeds)
        lines = [
            f"node-name={self.name}", f"role={self.serves}",
            f"machine-class={'frontend' if self.serves == 'frontend' else 'core'}",
            f"serves={self.serves}", f"ip={self.address}", f"zone={self.zone}",
            "region=cl-centro", *(f"zones.{z}=cl-centro" for z in ZONES),
            f"internal-ports={w.internal},{w.internal + 15}", f"seeds={seeds}",
            f"bootstrap={'true' if self.first else 'false'}",
            f"in-tolerance={'true' if self.serves == 'control' else 'false'}",
            "limits.cpu-share=0.645", "limits.cpu-cores=1", "limits.memory-mb=300",
            "limits.max-fds=4100", "limits.link-mbps=1000.0", "discovery=registry",
            "entry-type=announce", f"heartbeat-ms={HEARTBEAT_S * 1000:.0f}",
            "contracts=base,drain,config,cost,recover,flows",
            "fault-tolerance.machines=1", "fault-tolerance.zones=1",
            "fault-tolerance.regions=0", "bounds.seed-lag-s=3",
            "bounds.addr-reuse-s=2", "bounds.contact-ms=4000",
            "bounds.ack-timeout-ms=5000", "bounds.catch-up-s=4",
            "bounds.drain-ms=3000", "bounds.grace-s=6", "bounds.loss-slack-ms=200",
            "bounds.config-apply-ms=3000", "bounds.rollback-slack-ms=250",
            "bounds.skew-max-ms=12000", "bounds.recovery-s=12",
            "bounds.reorder-ms=2000", "bounds.flow-max-s=60",
            "config_mode=highest", "hash=mod", "forwarding-mode=echo",
        ]
        if self.serves == "frontend":
            lines += [f"listen-addrs.datagram-addr={self.address}:{w.data_port}",
                      f"listen-addrs.ready={self.address}:{w.ready_port}",
                      "limits.disk-mb=0"]
        else:
            lines += [f"listen-addrs.control={self.address}:{w.control_port}",
                      "limits.disk-mb=128", f"data-dir={self.folder}/data"]
        return "\n".join(lines) + "\n"

    def start(self):
        """Starts the role with the command of the deploy file."""
        self.folder.mkdir(exist_ok=True)
        (self.folder / "data").mkdir(exist_ok=True)
        file = self.folder / "settings.conf"
        file.write_text(self.settings())
        self.first = False
        program = "entry" if self.serves == "frontend" else "control"
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TAMARACKFORD_BOOT"] = str(file)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-P", "-S", "-m", f"tamarack_platform.{program}"],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.world.note(f"{self.name} is started, process {self.process.pid}")

    def signal(self, what):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(what)
            self.world.note(f"{self.name} gets {what.name}")

    def kill(self):
        if self.process is not None:
            self.died = self.died or self.process.poll() is not None
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def log(self):
        return (self.folder / "log").read_text(errors="replace")


async def call(address, port, method, path, body=None, timeout_s=1.0, local=None):
    """One HTTP request on a new connection; (status, headers, body) or None."""
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                address, port, local_addr=(local, 0) if local else None)
            writer.write(head.encode() + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    top, separator, content = answer.partition(b"\r\n\r\n")
    lines = top.decode("latin-1").split("\r\n")
    if not separator or not lines[0].startswith("HTTP/1.1 "):
        return None
    pairs = (line.partition(":") for line in lines[1:])
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return int(lines[0].split()[1]), headers, content


class ServerFlow:
    """A flow at its server."""

    def __init__(self, client, service, expected, initial):
        self.client, self.service = client, service
        self.expected = expected  # next sequence number of the client
        self.initial, self.next = initial, initial + 1
        self.acked = initial
        self.open = False
        self.buffer = b""
        self.unacked = []  # (seq, data)
        self.echo = 0
        self.timer = None


class Server(asyncio.DatagramProtocol):
    """A server of one service, as the page describes it."""

    def __init__(self, world, index, service, zone, work_s=0.03):
        self.world, self.index, self.service, self.zone = world, index, service, zone
        self.id = f"i-{world.random.getrandbits(32):08x}"
        self.address = f"{world.net}.{41 + index}"
        self.work_s = work_s
        self.sequence = 0
        self.alive = False
        self.state = "ready"
        self.flows = {}
        self.runs = []
        self.beats = True
        self.heartbeat_addr = None
        self.acked_draining = None
        self.syns = []
        self.resets = set()
        world.servers.append(self)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.born = int(time.time() * 1000)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.address, self.world.server_port))
        self.listener = await asyncio.start_server(
            self.health, self.address, self.world.server_port)
        self.alive = True
        self.world.note(f"server {self.id} of {self.service} starts at {self.address}")
        self.world.spawn(self.beat())

    async def health(self, reader, writer):
        with contextlib.suppress(Exception):
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
            status = "200 OK" if self.state == "ready" else "503 Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        writer.close()

    def says(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.world.server_port}",
            "zone": self.zone, "version": "v1", "slots": 2, "state": self.state,
            "warmup-left-ms": 0, "sequence": self.sequence, "born": self.born,
        }

    async def beat_once(self):
        order = [self.world.hosts[n].address for n in self.world.control_names]
        self.world.random.shuffle(order)
        if self.heartbeat_addr:
            order.insert(0, self.heartbeat_addr)
        for address in order:
            state = self.state
            answer = await call(address, self.world.control_port, "POST",
                                f"/instances/{self.id}/heartbeat", self.says(), 1.0, self.address)
            if answer is not None and 200 <= answer[0] < 300:
                told = json.loads(answer[2] or b"{}").get("heartbeat-addr", "")
                self.heartbeat_addr = told.rpartition(":")[0] or None
                if state == "draining" and self.acked_draining is None:
                    self.acked_draining = self.world.now()
                    self.world.note(f"server {self.id}: draining is acknowledged by {address}")
                return True
            self.heartbeat_addr = None
        return False

    async def beat(self):
        while self.alive:
            if self.beats:
                await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    def has_reset(self, key):
        return key in self.resets

    def send(self, flow, flags, seq, data=b""):
        if flags & RST:
            self.resets.add((flow.client, flow.service))
        raw = encode(flow.service, flow.client, flags, seq, flow.expected, flow.echo, data)
        self.transport.sendto(raw, (text(flow.client[0]), self.world.data_port))

    def datagram_received(self, raw, sender):
        if not self.alive or len(raw) < 8 + HEAD.size:
            return
        if int.from_bytes(raw[:8], "big") not in (0, int(self.id[2:], 16)):
            return
        packet = Packet(raw[8:])
        if not (packet.whole and packet.genuine) or packet.flags & SYN and packet.flags & ACK:
            self.world.broken("UNASKED", f"server {self.id} gets a packet that nobody sent")
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.syns.append((self.world.now(), key))
            if flow is None:
                flow = ServerFlow(packet.src, packet.dst, packet.seq + 1, self.world.random.getrandbits(30) + (1 << 20))
                self.flows[key] = flow
            flow.echo = packet.echo
            self.send(flow, SYN | ACK, flow.initial)
            return
        if flow is None:
            if not packet.flags & RST:
                stray = ServerFlow(packet.src, packet.dst, packet.seq, packet.ack)
                stray.echo = packet.echo
                self.send(stray, RST, packet.ack)
            return
        flow.echo = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow.open:
            if packet.ack != flow.next:
                self.send(flow, RST, packet.ack)
                return
            flow.open = True
            self.world.note(f"flow {packet.src[1]}>{packet.dst[1]} is open at {self.id}")
        flow.unacked = [(s, d) for s, d in flow.unacked if s + len(d) > packet.ack]
        if packet.data:
            if packet.seq == flow.expected:
                flow.expected += len(packet.data)
                flow.buffer += packet.data
                self.take_requests(key, flow)
            self.send(flow, ACK, flow.next)
        if packet.flags & FIN:
            flow.expected = max(flow.expected, packet.seq + 1)
            self.send(flow, ACK | FIN, flow.next)
            self.flows.pop(key, None)

    def take_requests(self, key, flow):
        while b"\r\n\r\n" in flow.buffer:
            head, _, flow.buffer = flow.buffer.partition(b"\r\n\r\n")
            attempt = head.split(b"X-Attempt-Id: ")[1].split(b"\r\n")[0].decode()
            self.runs.append(attempt)
            self.world.note(f"server {self.id} of {self.service} runs {attempt}")
            self.world.judge_run(self, attempt, key)
            self.world.spawn(self.work(key, flow, attempt))

    async def work(self, key, flow, attempt):
        await asyncio.sleep(self.work_s)
        body = f"{attempt} done by {self.id}".encode()
        data = (f"HTTP/1.1 200 OK\r\nX-Response-Signature: {zlib.crc32(KEY + body)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        seq = flow.next
        flow.next += len(data)
        flow.unacked.append((seq, data))
        wait = 0.2
        for _ in range(9):
            if not self.alive or self.flows.get(key) is not flow:
                return
            if (seq, data) not in flow.unacked:
                return
            self.send(flow, ACK, seq, data)
            await asyncio.sleep(wait)
            wait = min(wait * 2, 1.6)

    def crash(self):
        """Ends without a word; all flows are lost."""
        if not self.alive:
            return
        self.alive = False
        self.flows.clear()
        self.transport.close()
        self.listener.close()
        self.world.note(f"server {self.id} crashes")

    async def leave(self, stay_s=4.0):
        """Says `draining`, goes on for a while, deregisters and ends."""
        self.state = "draining"
        while not await self.beat_once():
            await asyncio.sleep(0.2)
        await asyncio.sleep(stay_s)
        self.beats = False
        for name in self.world.control_names:
            answer = await call(self.world.hosts[name].address, self.world.control_port, "POST",
                                f"/instances/{self.id}/deregister", {"born": self.born}, 1.0, self.address)
            if answer is not None and answer[0] == 200:
                break
        self.world.note(f"server {self.id} deregisters and ends")
        self.crash()


class Client(asyncio.DatagramProtocol):
    """A client address with its flows."""

    def __init__(self, world, index):
        self.world = world
        self.address = f"{world.net}.{81 + index}"
        self.flows = {}
        self.next_port = itertools.count(40000)
        world.clients.append(self)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.address, self.world.data_port))

    def datagram_received(self, raw, sender):
        if len(raw) < HEAD.size:
            return
        packet = Packet(raw)
        flow = self.flows.get(packet.dst[1])
        if flow is not None and packet.src == flow.route:
            flow.inbox.put_nowait(packet)


class Flow:
    """A client's end of a flow that carries one request after the other."""

    def __init__(self, client, host, port):
        self.client, self.world = client, client.world
        self.port = next(client.next_port)
        self.route = (number(host), port)
        self.src = (number(client.address), self.port)
        self.seq = client.world.random.getrandbits(30) + (1 << 20)
        self.ack = 0
        self.echo = 0
        self.inbox = asyncio.Queue()
        self.open = False
        self.ended = None
        self.server = None
        self.server_end = None
        client.flows[self.port] = self

    def send(self, flags, ack, data=b"", entry=None):
        raw = encode(self.src, self.route, flags, self.seq, ack, self.echo, data)
        node = entry or self.world.router(self.src, self.route)
        self.client.transport.sendto(raw, (node, self.world.data_port))

    async def receive(self, wait_s):
        try:
            return await asyncio.wait_for(self.inbox.get(), max(wait_s, 0.001))
        except TimeoutError:
            return None

    async def connect(self, entry=None):
        """Opens the flow; returns opened, reset or silent."""
        for copy, wait_s in enumerate(SYN_WAITS_S):
            self.send(SYN, copy, entry=entry)
            end = self.world.now() + wait_s
            while (left := end - self.world.now()) > 0:
                packet = await self.receive(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.close()
                    self.ended = "refused"
                    return "reset"
                if packet.flags & SYN and packet.genuine:
                    self.seq += 1
                    self.ack, self.echo = packet.seq + 1, packet.echo
                    self.open = True
                    self.send(ACK, self.ack, entry=entry)
                    return "opened"
        self.close()
        self.ended = "silent"
        return "silent"

    async def request(self, attempt, deadline_s=2.0, entry=None):
        """Sends a request; returns the body, or reset, or None."""
        data = f"POST / HTTP/1.1\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode()
        end, wait = self.world.now() + deadline_s, 0.2
        self.world.note(f"client sends {attempt} on flow {self.port}>{self.route[1]}")
        start, answer, acked = self.seq, b"", False
        while self.world.now() < end:
            if not acked:
                self.seq = start
                self.send(ACK, self.ack, data, entry=entry)
            until = min(self.world.now() + wait, end)
            wait = min(wait * 2, 1.6)
            while (left := until - self.world.now()) > 0:
                packet = await self.receive(left)
                if packet is None:
                    break
                if self.is_reset(packet):
                    return "reset"
                if not packet.genuine or packet.flags & SYN:
                    continue
                self.echo = packet.echo
                if packet.ack >= start + len(data):
                    acked = True
                    self.seq = start + len(data)
                if packet.data and packet.seq == self.ack:
                    self.ack += len(packet.data)
                    answer += packet.data
                    self.send(ACK, self.ack, entry=entry)
                    body = answer.partition(b"\r\n\r\n")[2]
                    if body and acked:
                        self.world.note(f"client gets {body.decode()!r}")
                        return body.decode()
        return None

    def is_reset(self, packet):
        """Whether a reset ends this open flow; judges it."""
        if not packet.flags & RST:
            return False
        near = (packet.seq - self.ack + RESET_WINDOW) & 0xFFFFFFFF
        if near > 2 * RESET_WINDOW:
            return False
        key = (self.src, self.route)
        holder = next((s for s in self.world.servers if s.alive and key in s.flows and s.flows[key].open), None)
        self.ended = "reset by the system" if packet.by_system else "reset by a server"
        self.world.note(f"flow {self.port}>{self.route[1]} is {self.ended}")
        if holder is not None and not holder.has_reset(key):
            self.world.broken("FLOW", f"flow {self.port}>{self.route[1]} is open at {holder.id}, which lives"
                              " and did not reset it, and its client gets a reset")
        self.open = False
        self.close()
        return True

    def poll_resets(self):
        """Looks for a reset on an idle flow."""
        while not self.inbox.empty():
            if self.is_reset(self.inbox.get_nowait()):
                return True
        return False

    def close(self):
        self.client.flows.pop(self.port, None)


def route(name, host, port, kind, service, **more):
    """A route of a configuration."""
    return {"name": name, "host": host, "path-prefix": f"/{port}/", "type": kind,
            "timeout-ms": 2000, "target-latency-ms": 200, "priority": 1,
            "service": service, "max-attempts": 2, **more}


def config(version, routes, services):
    """A whole configuration."""
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health-path": "/health", "max-connections": 2000,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def answered(world, limit_s=10.0):
    """Waits until all hosts run and the entry hosts are in rotation."""
    end = world.now() + limit_s
    while world.now() < end:
        if len(world.in_rotation) == len(world.entry_names):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the entry hosts are not ready")


def run_case(folder, scenario, trouble, controls=3, entries=2, limit_s=110.0):
    """Runs a scenario and ends with 1 if a rule was broken, 0 or 2."""
    world = World(folder, controls, entries)
    status = 2

    def end(*_):
        world.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)

    async def limited():
        async with asyncio.timeout(limit_s):
            await scenario(world, trouble)

    try:
        asyncio.run(limited())
        status = 1 if world.breaks else 0
    except CannotRun as error:
        world.note(f"could not run: {error}")
    except (OSError, TimeoutError) as error:
        world.note(f"could not run: {error!r}")
    finally:
        world.close()
        for host in world.hosts.values():
            if host.died:
                world.note(f"{host.name} ended by itself")
        counts = {rule: world.breaks.count(rule) for rule in sorted(set(world.breaks))}
        world.note(f"trouble {trouble}, broken {counts or 'nothing'}, status {status}")
        print(f"trouble {trouble}: broken {counts or 'nothing'}, status {status}")
    os._exit(status)

"""Control hosts with numbered documents on the simulated network."""

import itertools

import msgspec

from tamarack_core import document_control
from tamarack_core import documents
from tamarack_core import effects
from tamarack_core import envelopes
from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import target_announcement
from tamarack_core import timeline
from tamarack_core.storage import disk as disks
from tests import fake_hosts

ANNOUNCE_INTERVAL_S = 1.2
DOMAINS = frozenset(("zone-1", "zone-2"))
REPEAT_S = 6.0


def peer(number, domain=None):
    """Returns the control host with a number."""
    endpoint = peers.Endpoint(f"10.0.{number}.1", 7000)
    return peers.Peer(f"c{number}", domain or f"zone-{number}", endpoint)


def seed_of(control):
    """Returns a host as settings name it: by its address alone."""
    address = control.control.address
    return peers.Peer(address, "", control.control)


def route(name, port, service="web"):
    """Returns a route."""
    return documents.Route(
        name=name,
        address="198.18.0.1",
        port=port,
        kind=documents.WorkKind.IDEMPOTENT,
        timeout_ms=1500.0,
        priority=1,
        shares=(documents.WeightedService(service, 1),),
        source=f'{{"name":"{name}"}}',
    )


def document(number, *routes, content="", services=("web",), warm_up=(0, 0)):
    """Returns a document; `content` distinguishes those of one number.

    `warm_up` holds the warm-up time of the services, in seconds, and the
    requests a second of a cold target.
    """
    return documents.Document(
        number=number,
        routes=routes or (route("r", 443),),
        services=tuple(
            documents.Service(name, "/health", "{}", *warm_up)
            for name in services
        ),
        idle_timeout_ms=15000.0,
        remainder=content,
    )


def target(name, **changes):
    """Returns an announcement of a target."""
    known = target_announcement.Announcement(
        name=name,
        born_ms=1000,
        sequence=1,
        service="web",
        endpoint=peers.Endpoint("10.9.0.1", 80),
        domain="zone-1",
        slots=2,
        phase=target_announcement.Phase.READY,
    )
    return msgspec.structs.replace(known, **changes)


class GroupNetwork(fake_hosts.Network):
    """Control hosts whose settings name three seeds and nothing else.

    Attributes:
        seeds: The seeds.
        tolerated: Number of hosts that may be lost at once.
        seeds_of: Seeds of the hosts that were added later, by host.
        delayed_writes: Writes that wait for room, by host with a full disk.
    """

    def __init__(self, count, tolerated=1, seed=1):
        """Creates the hosts; none runs."""
        super().__init__([])
        self.peers = {f"c{n}": peer(n) for n in range(1, count + 1)}
        self.tolerated = tolerated
        self.seed = seed
        self.seeds = [seed_of(peer(n)) for n in (1, 2, 3)]
        self.seeds_of = {}
        self.delayed_writes = {}
        self.sent = {}
        self.incarnation_numbers = itertools.count(1)

    def add(self, number):
        """Adds a host that replaces another one.

        Its settings name three hosts that run when they are written.
        """
        running = sorted(self.nodes)[:3]
        self.peers[f"c{number}"] = peer(number)
        self.seeds_of[f"c{number}"] = [
            seed_of(self.peers[host]) for host in running
        ]
        self.start(f"c{number}", is_first_start=False)

    def start_all(self):
        """Starts all hosts for the first time."""
        for host in self.peers:
            self.start(host, is_first_start=True)

    def start(self, host, *, is_first_start=False):
        """Starts a host from its disk."""
        own = self.peers[host]
        if host not in self.disks:
            is_seed = any(s.control == own.control for s in self.seeds)
            incarnation = f"{host}-{next(self.incarnation_numbers)}"
            if is_first_start and is_seed:
                incarnation = document_control.founder_incarnation(own.control)
            self.disks[host] = fake_hosts.Disk(incarnation)
        disk = self.disks[host]
        start_number = next(self._start_numbers)
        self._start_number[host] = start_number
        self.sent.setdefault(host, 0)
        plan = document_control.Plan(
            host=own,
            seed=self.seed * 1000 + start_number,
            seeds=tuple(self.seeds_of.get(host, self.seeds)),
            disk=disks.DiskContents(
                disk.incarnation, disk.snapshot, tuple(disk.records)
            ),
            tolerated_hosts=self.tolerated,
            announce_interval_s=ANNOUNCE_INTERVAL_S,
            evacuation=evacuations.Settings(DOMAINS, REPEAT_S),
            cold_overrun_factor=1.5,
            cold_slack_requests=2.0,
        )
        self.nodes[host] = document_control.assemble(plan)
        self.handle(host, events.Started(self.now_s, int(self.now_s * 1000)))

    def _carry_out(self, host, node, effect):
        start_number = self._start_number[host]
        match effect:
            case effects.Persist(sequence, records):
                write = (sequence, None, records)
                self._sync(host, start_number, write)
            case effects.SaveSnapshot(sequence, data, records):
                self._sync(host, start_number, (sequence, data, records))
            case effects.SaveTargets() | effects.Record():
                pass
            case effects.Stop():
                self.kill(host)
            case _:
                super()._carry_out(host, node, effect)

    def _sync(self, host, start_number, write):
        """Stores a write and reports its completion after the sync time.

        A host with a full disk retries its writes until there is room.
        """
        if host in self.delayed_writes:
            self.delayed_writes[host].append((start_number, write))
            return

        def finish(now_s):
            sequence, data, records = write
            disk = self.disks[host]
            if data is not None:
                disk.snapshot = data
                disk.records = []
            disk.records.extend(records)
            return events.WriteCompleted(now_s, sequence)

        def finish_if_alive(now_s):
            if (
                self._start_number.get(host) != start_number
                or host not in self.nodes
            ):
                return None
            return finish(now_s)

        self._schedule(fake_hosts.SYNC_S, host, finish_if_alive, start_number)

    def _send(self, host, node, receiver, message):
        envelope = envelopes.Envelope(
            node.context.host, timeline.Stamp(0, 0), (message,)
        )
        data = document_control.CODEC.encode(envelope)
        self.sent[host] += len(data)
        name = next(
            (
                other
                for other, known in self.peers.items()
                if known.control == receiver.control
            ),
            None,
        )
        if name is None or (host, name) in self.cut:
            return
        decoded = document_control.CODEC.decode(data)
        self._schedule(
            fake_hosts.LATENCY_S,
            name,
            lambda now_s: events.MessageArrived(
                now_s, decoded.sender, decoded.messages[0]
            ),
        )

    def stop(self, host, timeout_s=6.0):
        """Requests a planned stop of a host, and waits until it has ended.

        Returns:
            The time that the host took, in seconds.
        """
        began_s = self.now_s
        self.handle(host, events.StopRequested(self.now_s))
        self.run_until(lambda: host not in self.nodes, timeout_s)
        return self.now_s - began_s

    def kill(self, host, *, lose_disk=False):
        """Ends a host abruptly; writes in flight are lost."""
        self.nodes.pop(host, None)
        if lose_disk:
            self.disks.pop(host, None)

    def fill_disk(self, host):
        """Lets no write of a host complete until its disk has room again."""
        self.delayed_writes[host] = []

    def free_disk(self, host):
        """Completes the delayed writes of a host."""
        for start_number, write in self.delayed_writes.pop(host):
            self._sync(host, start_number, write)

    def isolate(self, host):
        """Cuts a host off from all others."""
        for other in self.peers:
            self.cut |= {(host, other), (other, host)}

    def partition(self, one_side, other_side):
        """Cuts all links between two sets of hosts."""
        for one in one_side:
            for other in other_side:
                self.cut |= {(one, other), (other, one)}

    def publish(self, number, *routes, timeout_s=8.0, **content):
        """Publishes a document, trying one host after another."""
        request = external_requests.PublishDocument(
            document(number, *routes, **content)
        )
        return self._try_all(
            request, external_requests.DocumentPublished, timeout_s
        )

    def order(self, action, domain="zone-1", timeout_s=8.0):
        """Orders an evacuation or its end, trying one host after another."""
        request = external_requests.OrderEvacuation(
            evacuations.Order(domain, evacuations.Action(action))
        )
        return self._try_all(
            request, external_requests.EvacuationOrdered, timeout_s
        )

    def evacuated(self, host):
        """Returns the evacuated domains that a host tells entry hosts."""
        control = self.component_of(host, external_requests.PublishDocument)
        return control.publisher.evacuations.domains

    def read(self, timeout_s=8.0):
        """Reads the document, trying one host after another."""
        return self._try_all(
            external_requests.ReadDocument(),
            external_requests.DocumentRead,
            timeout_s,
        ).document

    def _try_all(self, request, wanted, timeout_s):
        end_s = self.now_s + timeout_s
        for host in itertools.cycle(sorted(self.peers)):
            answer = self.try_at(host, request)
            if isinstance(answer, wanted):
                return answer
            self.run(0.05)
            if self.now_s > end_s:
                raise AssertionError(f"no answer but {answer}")

    def try_at(self, host, request):
        """Sends a request to one host and follows its redirects.

        Returns:
            The response, or None if there was none within a second.
        """
        for _ in range(3):
            if host not in self.nodes:
                self.run(0.1)
                return None
            number = self.ask(host, request)
            end_s = self.now_s + 1.0
            while number not in self.answers and self.now_s < end_s:
                self.run(0.01)
            answer = self.answers.get(number)
            if not isinstance(answer, external_requests.Elsewhere):
                return answer
            host = next(
                (
                    name
                    for name, known in self.peers.items()
                    if known.control == answer.peer.control
                ),
                "",
            )
        return None

    def component_of(self, host, kind):
        """Returns the component that handles a kind of message or request."""
        return self.nodes[host].handlers[kind][0].__self__

    def voters(self, host):
        """Returns the names of the voters that a host knows."""
        control = self.component_of(host, external_requests.PublishDocument)
        state = control.replica.state
        by_endpoint = {p.control: name for name, p in self.peers.items()}
        return {
            by_endpoint[member.peer.control]
            for member in state.latest_membership.members.values()
            if member.is_voter
        }

    def leaders(self):
        """Returns the hosts that consider themselves the leader."""
        return {
            host
            for host in self.nodes
            if self.component_of(
                host, external_requests.PublishDocument
            ).replica.state.is_leader
        }

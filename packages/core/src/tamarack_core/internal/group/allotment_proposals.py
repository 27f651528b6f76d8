"""Proposes the allotments of cold targets at the leader.

A leader knows the entry hosts that are subscribed to it, and those that other
control hosts name in turn. It allots each cold time of a target once, by an
entry of the replicated log.
"""

from tamarack_core import context as context_lib
from tamarack_core import documents
from tamarack_core import evacuations
from tamarack_core import failure
from tamarack_core import target_announcement
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.documents import allotment_log
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import target_registry

LEARNING_S = 2.0
"""Time after its start for which a control host may not know all entry hosts,
in seconds: their requests arrive each second, and names in turn."""

MAX_PER_COMMAND = 200
"""Most allotments of one command, which bounds the size of a log entry."""

REUSE_S = 10.0
"""Time beyond two warm-up times for which a target that becomes cold again
keeps its hosts, in seconds. A host that is cut off may act by the earlier
allotment until the target is warm in its view."""

FORGET_S = 60.0
"""Time beyond the longest warm-up time after which the end of an evacuation is
removed from the state, in seconds."""

MS_PER_S = 1000


class AllotmentProposals:
    """Finds cold targets without an allotment, and proposes one.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        directory: The known control hosts and the entry hosts they name.
        publisher: The subscribers, the registry and the document in force.
        machine: The replicated state machine.
        replica: The replicated log.
        tolerance: By how much openings may exceed the rate of a cold target.
        started_s: Time of the first check, in seconds.
        term: Term of the proposals that are pending.
        pending: Allotments proposed in that term that are not applied.
        hosts: Hosts of the last applied allotment by target, and the time at
            which this host applied it, in seconds.
        forgotten: Ends of evacuations whose removal was proposed in that term.
    """

    __slots__ = (
        "context",
        "directory",
        "forgotten",
        "hosts",
        "machine",
        "pending",
        "publisher",
        "replica",
        "started_s",
        "term",
        "tolerance",
    )

    def __init__(
        self,
        context: context_lib.Context,
        directory: host_directory.ControlHostDirectory,
        publisher: publishers.Publisher,
        machine: machines.DocumentStateMachine,
        replica: replicas.Replica,
        tolerance: budget.Tolerance,
    ) -> None:
        """Initializes without proposals.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            directory: The known control hosts and the entry hosts they name.
            publisher: The subscribers, the registry and the document in force.
            machine: The replicated state machine.
            replica: The replicated log.
            tolerance: By how much openings may exceed the rate of a cold
                target.
        """
        self.context = context
        self.directory = directory
        self.publisher = publisher
        self.machine = machine
        self.replica = replica
        self.tolerance = tolerance
        self.started_s = float("inf")
        self.term = 0
        self.pending: dict[allotment_lib.Key, allotment_lib.Allotment] = {}
        self.hosts: dict[str, tuple[tuple[str, ...], float]] = {}
        self.forgotten: set[evacuations.Ended] = set()

    def observe_applied(
        self, now_s: float, allotments: list[allotment_lib.Allotment]
    ) -> None:
        """Records allotments that were applied.

        Args:
            now_s: Monotonic time in seconds.
            allotments: The allotments.
        """
        for allotment in allotments:
            name = allotment.key.target
            self.hosts.pop(name, None)
            self.hosts[name] = (allotment.hosts, now_s)
            self.pending.pop(allotment.key, None)
        while len(self.hosts) > allotment_log.MAX_ALLOTMENTS:
            del self.hosts[next(iter(self.hosts))]

    def propose_due(self, now_s: float) -> list[outputs.Step]:
        """Proposes allotments of the targets that are cold and have none.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.started_s = min(self.started_s, now_s)
        state = self.replica.state
        if self.term != state.term:
            self.term = state.term
            self.pending.clear()
            self.forgotten.clear()
        # An entry of an earlier leader may not be applied before that.
        if not state.is_leader or not replication.has_committed_in_term(state):
            return []
        if not replication.is_confirmed(state, now_s):
            return []
        services = {
            service.name: service
            for service in self.machine.document.services
            if service.states_warm_up
        }
        allotments = self._due_allotments(now_s, services)
        warmed = self._warmed(now_s, services)
        if not allotments and not warmed:
            return []
        if not self.directory.all_accept_orders(now_s):
            # Versions without evacuation orders have no allotments either.
            self.context.counters["allotment-refused-older-control-host"] += 1
            return []
        command = allotment_log.Command(allotments, warmed)
        proposal = self.replica.propose(
            now_s, machines.encode_allotments(command)
        )
        if isinstance(proposal, failure.Failure):
            self.context.counters[f"allotment-refused-{proposal.reason}"] += 1
            return []
        self.pending.update({item.key: item for item in allotments})
        self.forgotten.update(warmed)
        record = self.context.record(
            now_s,
            "allotments-proposed",
            version=self.machine.allotments.number,
            detail=f"{len(allotments)} cold targets to"
            f" {len(self._known_hosts(now_s))} known entry hosts,"
            f" {len(warmed)} ended evacuations",
        )
        return [outputs.Step(effects=[record]), proposal.step]

    def _due_allotments(
        self, now_s: float, services: dict[str, documents.Service]
    ) -> tuple[allotment_lib.Allotment, ...]:
        """Returns the allotments that are to be proposed."""
        due = [
            (key, service)
            for key, service in self._cold_keys(now_s, services)
            if key not in self.machine.allotments.by_key
            and key not in self.pending
        ]
        known = self._known_hosts(now_s) if due else []
        held = self._held_counts(now_s, services) if due else {}
        result = []
        for key, service in due[:MAX_PER_COMMAND]:
            count = budget.host_count(
                service.cold_requests_per_s, self.tolerance
            )
            is_learning = now_s - self.started_s < LEARNING_S
            if len(known) < (count if is_learning else 1):
                continue
            hosts = allotment_lib.choose_hosts(
                key, known, count, held, self._earlier(now_s, key, service)
            )
            for host in hosts:
                held[host] = held.get(host, 0) + 1
            result.append(allotment_lib.Allotment(key, hosts))
        return tuple(result)

    def _cold_keys(
        self, now_s: float, services: dict[str, documents.Service]
    ) -> list[tuple[allotment_lib.Key, documents.Service]]:
        """Returns the cold targets that some hosts may open flows to."""
        registry = self.publisher.registry
        limited = {
            name: service
            for name, service in services.items()
            if budget.host_count(service.cold_requests_per_s, self.tolerance)
        }
        if not limited:
            return []
        longest_s = max(service.warm_up_s for service in limited.values())
        revisions = {
            end.domain: end.revision
            for end in self.machine.evacuations.state.ended
            if now_s < self._ended_s(end) + longest_s
        }
        records = {
            record.target.name: record
            for record in registry.cold_records(now_s)
        }
        if revisions:
            records.update(registry.records)
        result = []
        for record in records.values():
            target = record.target
            service = limited.get(target.service)
            if service is None or not self._accepts_flows(target):
                continue
            revision = revisions.get(target.domain, 0)
            end = evacuations.Ended(target.domain, revision)
            if now_s >= self._ended_s(end) + service.warm_up_s:
                revision = 0
            if revision or _is_cold(now_s, record):
                key = allotment_lib.Key(target.name, target.place_ms, revision)
                result.append((key, service))
        return result

    def _accepts_flows(self, target: target_announcement.Announcement) -> bool:
        """Returns whether new flows may be opened to a target."""
        return (
            target.phase is target_announcement.Phase.READY
            and target.domain not in self.machine.evacuations.state.domains
        )

    def _known_hosts(self, now_s: float) -> list[str]:
        """Returns the names of the entry hosts that respond."""
        own = {
            peer.host
            for peer in self.publisher.entry_subscribers(now_s)
            if 0 < len(peer.host) <= host_directory.MAX_NAME_CHARACTERS
        }
        return sorted(own | self.directory.entry_names.keys())

    def _held_counts(
        self, now_s: float, services: dict[str, documents.Service]
    ) -> dict[str, int]:
        """Returns the number of targets allotted to each host lately."""
        longest_s = max(service.warm_up_s for service in services.values())
        held: dict[str, int] = {}
        for hosts, applied_s in self.hosts.values():
            if now_s - applied_s <= longest_s:
                for host in hosts:
                    held[host] = held.get(host, 0) + 1
        for allotment in self.pending.values():
            for host in allotment.hosts:
                held[host] = held.get(host, 0) + 1
        return held

    def _earlier(
        self, now_s: float, key: allotment_lib.Key, service: documents.Service
    ) -> tuple[str, ...]:
        """Returns hosts that may still act by an earlier allotment."""
        for allotment in reversed(self.pending.values()):
            if allotment.key.target == key.target:
                return allotment.hosts
        hosts, applied_s = self.hosts.get(key.target, ((), 0.0))
        cold_s = max(service.warm_up_s, self._stated_cold_s(key.target))
        is_recent = now_s - applied_s <= 2 * cold_s + REUSE_S
        return hosts if is_recent else ()

    def _stated_cold_s(self, name: str) -> float:
        """Returns the cold time that a target stated last, in seconds."""
        record = self.publisher.registry.records.get(name)
        return record.target.cold_ms / MS_PER_S if record is not None else 0.0

    def _warmed(
        self, now_s: float, services: dict[str, documents.Service]
    ) -> tuple[evacuations.Ended, ...]:
        """Returns the ends of evacuations to be removed from the state."""
        longest_s = max(
            (service.warm_up_s for service in services.values()), default=0.0
        )
        return tuple(
            end
            for end in self.machine.evacuations.state.ended
            if end not in self.forgotten
            and now_s > self._ended_s(end) + longest_s + FORGET_S
        )

    def _ended_s(self, end: evacuations.Ended) -> float:
        """Returns when this host learned of an end, in seconds.

        Until then, the end counts as one that is still to come.
        """
        key = (end.domain, end.revision)
        return self.publisher.ended_s.get(key, float("inf"))


def _is_cold(now_s: float, record: target_registry.TargetRecord) -> bool:
    """Returns whether a target states that it is cold."""
    return record.warm_at_s > now_s

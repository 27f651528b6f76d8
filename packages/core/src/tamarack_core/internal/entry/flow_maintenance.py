"""Maintenance of the flow table: expiry, changes of owner, backup repair."""

import dataclasses

from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import entry_hosts as hosts_lib
from tamarack_core.internal.entry import flow_queries
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.flows import placement
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.messages import flows

TIMER = "flows-upkeep"
TICK_S = 0.1

# The whole table is swept in this time.
SWEEP_S = 10.0
# After a change of members the whole table is swept in this time.
SCAN_S = 1.0
REPAIR_INTERVAL_S = 1.0
# Part of the control traffic budget that repair may use.
REPAIR_BYTES_PER_S = 1800
# Bytes charged to the budget for each message, in addition to its flows.
MESSAGE_OVERHEAD_BYTES = 330
# Backups are first repaired by the packets of a flow, which costs no control
# traffic. What is still missing after this time is sent in messages.
REPAIR_DELAY_S = 1.5

MAX_INCOMPLETE = 20_000

# Time for which a closed flow is kept for late packets.
CLOSED_LIFETIME_S = 40.0
# Idle timeout of a flow without a complete handshake.
OPENING_TIMEOUT_S = 15.0
# Idle timeout of a flow of which this host is neither the owner nor a backup.
LEARNED_IDLE_S = 60.0
# Idle timeout of an open flow of a long-lived work class.
LONG_LIVED_IDLE_S = 86400.0
# Idle timeout of any other open flow, in addition to the deadline of its class.
DEADLINE_GRACE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class BatchKey:
    """Key of the flows that are sent in one message.

    Attributes:
        receiver: Host that is to store them.
        service: Packed service address, port and protocol.
        is_replicated: Whether the backups after the receiver hold them.
    """

    receiver: peers.Peer
    service: bytes
    is_replicated: bool


class FlowMaintenance:
    """Expires, assigns and repairs the flows in the table of this host.

    Attributes:
        entry_hosts: The other entry hosts.
        records: Flow records of this host.
        queries: Queries about flows that this host does not know.
        config_store: Configuration in force.
        repairs: Keys of flows whose owner or backups have changed.
        incomplete: Keys of flows that have lasted and lack a backup.
    """

    __slots__ = (
        "_cursor",
        "_epoch",
        "_repair_s",
        "_scan_end",
        "config_store",
        "entry_hosts",
        "incomplete",
        "queries",
        "records",
        "repairs",
    )

    def __init__(
        self,
        entry_hosts: hosts_lib.EntryHosts,
        records: records_lib.FlowRecords,
        queries: flow_queries.FlowQueries,
        config_store: configuration_store.ConfigurationStore,
    ) -> None:
        """Initializes the maintenance of the flow table.

        Args:
            entry_hosts: The other entry hosts.
            records: Flow records of this host.
            queries: Queries about flows that this host does not know.
            config_store: Configuration in force.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.queries = queries
        self.config_store = config_store
        self.repairs: dict[bytes, None] = {}
        self.incomplete: dict[bytes, None] = {}
        self._cursor = 0
        self._epoch = 0
        self._scan_end = 0
        self._repair_s = 0.0

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts the timer."""
        return [effects.StartTimer(TIMER, TICK_S)]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Sweeps a slice of the table and sends repairs."""
        now_s = event.now_s
        self.entry_hosts.refresh(now_s)
        result: list[effects.Effect] = [effects.StartTimer(TIMER, TICK_S)]
        if self._epoch != self.entry_hosts.epoch:
            self._epoch = self.entry_hosts.epoch
            self._start_scan(now_s)
        self._sweep(now_s)
        if now_s >= self._repair_s:
            self._repair_s = now_s + REPAIR_INTERVAL_S
            self.queries.expire(now_s)
            result.extend(self._repair(now_s))
        return result

    def handle_copies(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Stores flows as a backup or, after a change, as their owner."""
        message = event.message
        assert isinstance(message, flows.FlowCopies)
        size = len(message.service) - 1
        for start in range(0, len(message.entries), size + 1):
            entry = message.entries[start : start + size + 1]
            if len(entry) <= size or entry[-1] >= len(message.targets):
                break
            key = entry[:-1] + message.service
            target = message.targets[entry[-1]]
            self._store_copy(event.now_s, key, target, message.is_replicated)
        return []

    def handle_query(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Responds with the target of a flow, if this host knows it."""
        message = event.message
        assert isinstance(message, flows.FlowQuery)
        table = self.records.table
        slot = self.records.find(event.now_s, message.key)
        target = b"" if slot is None else table.target_of(slot)
        response = flows.FlowResponse(message.key, target)
        return [effects.SendMessage(event.sender, response)]

    def handle_response(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Stores a flow that another host knows."""
        message = event.message
        assert isinstance(message, flows.FlowResponse)
        if self.queries.handle_response(event.sender, message):
            self._store_copy(event.now_s, message.key, message.target, False)
        return []

    def _store_copy(
        self, now_s: float, key: bytes, target: bytes, is_replicated: bool
    ) -> None:
        """Stores a flow that another host has reported."""
        port = self.config_store.lookup.find_key(key)
        if port is None:
            return
        if self.config_store.lookup.find_service(target) != port.service:
            return
        slot = self.records.learn(now_s, key, target)
        if slot is None:
            return
        order = self.entry_hosts.order(port, key)
        if is_replicated and order and self.entry_hosts.is_self(order[0]):
            self.records.take_over(now_s, slot, port)
            self.records.table.placed[slot] = placement.pack(order[1:])
        self._assign_role(now_s, slot, key)

    def _start_scan(self, now_s: float) -> None:
        """Starts a fast sweep of the whole table."""
        self._scan_end = len(self.records.table.keys)
        self._cursor = 0
        self._repair_s = now_s + REPAIR_DELAY_S

    def _sweep(self, now_s: float) -> None:
        """Sweeps the next slots."""
        table = self.records.table
        size = len(table.keys)
        is_scanning = self._cursor < self._scan_end
        ticks = (SCAN_S if is_scanning else SWEEP_S) / TICK_S
        count = int(size / ticks) + 1
        for slot in table.sweep(self._cursor, count):
            key = table.keys[slot]
            assert key is not None
            if self._expire(now_s, slot, key):
                continue
            if is_scanning:
                self._assign_role(now_s, slot, key)
            elif table.flags[slot] & table_lib.OWNED:
                self._queue_incomplete(now_s, slot, key)
        self._cursor += count
        if self._cursor >= size:
            self._cursor = 0
            self._scan_end = 0

    def _expire(self, now_s: float, slot: int, key: bytes) -> bool:
        """Removes a flow that is over; returns whether it did."""
        table = self.records.table
        flags = table.flags[slot]
        port = self.config_store.lookup.find_key(key)
        if port is None:
            table.remove(slot)
            return True
        if flags & table_lib.CLOSED:
            is_over = now_s - table.confirmed_s[slot] > CLOSED_LIFETIME_S
        else:
            idle_s = now_s - table.seen_s[slot]
            is_over = idle_s > _idle_timeout_s(flags, port)
            if is_over and not flags & table_lib.ESTABLISHED:
                is_over = not self.records.required_target(now_s, slot)
        if not is_over:
            return False
        if flags & table_lib.OWNED:
            progress = (
                target_choice.Progress.CLOSED
                if flags & table_lib.ESTABLISHED
                else target_choice.Progress.UNRESPONSIVE
            )
            self.records.observe(now_s, slot, port, progress)
        table.remove(slot)
        return True

    def _assign_role(self, now_s: float, slot: int, key: bytes) -> None:
        """Makes this host owner, backup or neither, by the current members."""
        table = self.records.table
        if table.flags[slot] & table_lib.CLOSED:
            return
        if not self.records.is_reliable(now_s, slot):
            return
        port = self.config_store.lookup.find_key(key)
        if port is None:
            return
        order = self.entry_hosts.order(port, key)
        if not order:
            return
        roles = [self.entry_hosts.is_self(peer) for peer in order]
        if roles[0]:
            self.records.take_over(now_s, slot, port)
            if placement.missing(table.placed[slot], order[1:]):
                table.fast_until_s[slot] = min(table.fast_until_s[slot], now_s)
                self.repairs[key] = None
            return
        if table.flags[slot] & table_lib.OWNED:
            self.records.release(now_s, slot, port)
            self.repairs[key] = None
        if any(roles):
            table.flags[slot] |= table_lib.BACKUP
        else:
            table.flags[slot] &= ~table_lib.BACKUP

    def _queue_incomplete(self, now_s: float, slot: int, key: bytes) -> None:
        """Queues an established flow that has lasted with too few backups."""
        table = self.records.table
        port = self.config_store.lookup.find_key(key)
        age_s = now_s - table.opened_s[slot]
        if (
            port is not None
            and age_s >= records_lib.BACKUP_CHECK_S
            and len(self.incomplete) < MAX_INCOMPLETE
            and table.flags[slot] & table_lib.ESTABLISHED
            and placement.missing(
                table.placed[slot], self.entry_hosts.order(port, key)[1:]
            )
        ):
            self.incomplete[key] = None

    def _repair(self, now_s: float) -> list[effects.Effect]:
        """Reports flows to new owners and backups, within the budget."""
        budget = REPAIR_BYTES_PER_S
        batches: dict[BatchKey, list[bytes]] = {}
        while budget > 0:
            key = self._next_repair()
            if key is None:
                break
            for batch in self._batches(now_s, key):
                budget -= 0 if batch in batches else MESSAGE_OVERHEAD_BYTES
                # JSON encodes bytes in base64.
                budget -= (lookup.caller_bytes(key) + 1) * 4 // 3 + 1
                batches.setdefault(batch, []).append(key)
        return [
            effects.SendMessage(batch.receiver, self._copies(batch, keys))
            for batch, keys in batches.items()
        ]

    def _next_repair(self) -> bytes | None:
        """Removes and returns the next flow to repair, after changes first."""
        for queue in (self.repairs, self.incomplete):
            if queue:
                key = next(iter(queue))
                del queue[key]
                return key
        return None

    def _batches(self, now_s: float, key: bytes) -> list[BatchKey]:
        """Returns the batches that a flow must be sent in."""
        table = self.records.table
        slot = self.records.find(now_s, key)
        port = self.config_store.lookup.find_key(key)
        order = () if port is None else self.entry_hosts.order(port, key)
        if slot is None or not order or table.flags[slot] & table_lib.CLOSED:
            return []
        service = key[lookup.caller_bytes(key) :]
        if not self.entry_hosts.is_self(order[0]):
            others = tuple(
                peer for peer in order[1:] if not self.entry_hosts.is_self(peer)
            )
            is_replicated = not placement.missing(table.placed[slot], others)
            return [BatchKey(order[0], service, is_replicated)]
        lacking = placement.missing(table.placed[slot], order[1:])
        table.placed[slot] = placement.pack(order[1:])
        return [BatchKey(peer, service, False) for peer in lacking]

    def _copies(self, batch: BatchKey, keys: list[bytes]) -> flows.FlowCopies:
        """Returns the message that reports flows."""
        table = self.records.table
        targets: dict[bytes, int] = {}
        entries = bytearray()
        for key in keys:
            target = table.target_of(table.slots[key])
            index = targets.setdefault(target, len(targets))
            entries += key[: lookup.caller_bytes(key)] + bytes((index,))
        return flows.FlowCopies(
            batch.service, tuple(targets), bytes(entries), batch.is_replicated
        )


def _idle_timeout_s(flags: int, port: lookup.ServicePort) -> float:
    """Returns the time without packets after which a flow is over."""
    if not flags & table_lib.ESTABLISHED:
        return OPENING_TIMEOUT_S
    if not flags & (table_lib.OWNED | table_lib.BACKUP):
        return LEARNED_IDLE_S
    if port.settings.lifetime is configuration.Lifetime.LONG_LIVED:
        return LONG_LIVED_IDLE_S
    return port.settings.deadline_s + DEADLINE_GRACE_S

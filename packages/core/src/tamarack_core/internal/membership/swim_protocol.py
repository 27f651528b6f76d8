"""SWIM protocol: failure detection, joins and graceful leaves."""

import math
import random

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal import suspension
from tamarack_core.internal.membership import dissemination
from tamarack_core.internal.membership import view
from tamarack_core.messages import membership

PROBE_TIMER = "membership-probe"
INDIRECT_TIMER = "membership-indirect"
STOP_TIMER = "membership-stop"

PROBE_INTERVAL_S = 1.0
ACK_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SUSPICION_TIMEOUT_S = 2.0
# A change needs about log2(members) periods to reach all members, and so does
# the refutation of a suspicion.
SUSPICION_PER_DOUBLING_S = 0.6
HANDOVER_S = 3.0
RECONTACT_INTERVAL_S = 5.0
TOMBSTONE_S = 600.0
PAGE_MEMBERS = 16
MAX_LOCAL_HEALTH_SCORE = 4
MISMATCHES_PER_FETCH = 4
INDIRECT_PROBE_LIFETIME_S = 3.0


class IndirectProbe:
    """A probe that this host sends on behalf of another member.

    Attributes:
        origin: The member that requested the probe.
        sequence: Sequence number of its request, which the relayed `Ack`
            repeats.
        expires_s: Monotonic time in seconds after which an `Ack` comes too
            late for the origin.
    """

    __slots__ = ("expires_s", "origin", "sequence")

    def __init__(
        self, origin: peers.Peer, sequence: int, expires_s: float
    ) -> None:
        """Initializes the indirect probe."""
        self.origin = origin
        self.sequence = sequence
        self.expires_s = expires_s


class SwimProtocol:
    """Membership protocol of one host.

    Attributes:
        local_peer: Identity and addresses of this host.
        seeds: Peers from the settings, contacted until they are members.
        random: Seeded random generator.
        view: View of the members at this host.
        dissemination: Changes that are yet to be sent to other members.
        local_health_score: Number of periods by which this host extends its
            probe timeout, because it missed acks or was suspected itself; 0
            if healthy.
        is_joining: Whether this host is still fetching its first view.
        is_leaving: Whether a graceful leave has begun.
    """

    __slots__ = (
        "_digest_mismatches",
        "_extra_periods",
        "_has_refetched",
        "_indirect_probes",
        "_is_fetching",
        "_page_cursor",
        "_period_due_s",
        "_probe_order",
        "_probed_host",
        "_probed_sequence",
        "_recontact_s",
        "_sequence",
        "dissemination",
        "is_joining",
        "is_leaving",
        "local_health_score",
        "local_peer",
        "random",
        "seeds",
        "view",
    )

    def __init__(
        self,
        local_peer: peers.Peer,
        seeds: tuple[peers.Peer, ...],
        generator: random.Random,
    ) -> None:
        """Initializes the membership protocol of a host before its start.

        Args:
            local_peer: Identity and addresses of this host.
            seeds: Peers from the settings; those of other failure domains
                are ignored.
            generator: Seeded random generator.
        """
        self.local_peer = local_peer
        self.seeds = tuple(
            seed
            for seed in seeds
            if seed.domain == local_peer.domain and seed.host != local_peer.host
        )
        self.random = generator
        self.view = view.MembershipView(local_peer.domain)
        self.dissemination = dissemination.Dissemination()
        self.local_health_score = 0
        self.is_leaving = False
        self._sequence = 0
        self._probe_order: list[str] = []
        self._probed_host = ""
        self._probed_sequence = 0
        self._period_due_s = float("inf")
        self._extra_periods = 0
        self._recontact_s = 0.0
        self._indirect_probes: dict[int, IndirectProbe] = {}
        self._digest_mismatches = 0
        self._page_cursor = ""
        self.is_joining = bool(self.seeds)
        self._has_refetched = False
        self._is_fetching = self.is_joining

    def start(self, now_s: float, wall_ms: int) -> list[effects.Effect]:
        """Starts probing and joins through the seeds.

        Args:
            now_s: Monotonic time in seconds.
            wall_ms: Wall-clock time in milliseconds. It becomes the first
                incarnation, so that a restarted host overrides the states
                of its earlier processes.
        """
        self._set_local_state(membership.State.ALIVE, wall_ms, now_s)
        self._recontact_s = now_s + RECONTACT_INTERVAL_S
        first = self.random.random() * PROBE_INTERVAL_S
        self._period_due_s = now_s + first
        return [
            effects.StartTimer(PROBE_TIMER, first),
            *(self._fetch(seed, "") for seed in self.seeds),
        ]

    def leave(self, now_s: float) -> list[effects.Effect]:
        """Begins a graceful leave.

        The host owns no flow from now on, but keeps forwarding packets until
        `STOP_TIMER` fires.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.is_leaving:
            return []
        self.is_leaving = True
        incarnation = self.view.members[self.local_peer.host].incarnation + 1
        self._set_local_state(membership.State.LEAVING, incarnation, now_s)
        return [
            *self._notify_members(),
            effects.StartTimer(STOP_TIMER, HANDOVER_S),
        ]

    def stop(self, now_s: float) -> list[effects.Effect]:
        """Ends a graceful leave: announces that this host has left.

        Args:
            now_s: Monotonic time in seconds.
        """
        incarnation = self.view.members[self.local_peer.host].incarnation
        self._set_local_state(membership.State.LEFT, incarnation, now_s)
        return self._notify_members()

    def handle_timer(self, now_s: float, timer: str) -> list[effects.Effect]:
        """Handles a timer of this module.

        Args:
            now_s: Monotonic time in seconds.
            timer: Name of the timer.
        """
        if timer == PROBE_TIMER:
            return self._begin_period(now_s)
        if timer == INDIRECT_TIMER:
            return self._probe_indirectly()
        if timer == STOP_TIMER:
            return self.stop(now_s)
        return []

    def handle_message(
        self, now_s: float, sender: peers.Peer, message: membership.Message
    ) -> list[effects.Effect]:
        """Handles a membership message.

        Args:
            now_s: Monotonic time in seconds.
            sender: The host that sent it.
            message: The message.
        """
        if sender.domain != self.local_peer.domain:
            return []
        match message:
            case membership.Probe():
                return self._handle_probe(now_s, sender, message)
            case membership.Ack():
                return self._handle_ack(now_s, sender, message)
            case membership.ProbeRequest():
                return self._handle_probe_request(now_s, sender, message)
            case membership.MembersFetch():
                return self._handle_fetch(now_s, sender, message)
            case membership.MembersPage():
                return self._handle_page(now_s, sender, message)

    def _begin_period(self, now_s: float) -> list[effects.Effect]:
        """Checks the last probe, sends the next and expires suspicions."""
        late_s = now_s - self._period_due_s
        self._period_due_s = now_s + PROBE_INTERVAL_S
        if late_s > suspension.SUSPENSION_S:
            self._restart_suspicions(now_s)
            return [effects.StartTimer(PROBE_TIMER, PROBE_INTERVAL_S)]
        if self._probed_host and self._extra_periods:
            # This host may be slow itself, so the probe gets another period.
            self._extra_periods -= 1
            return [effects.StartTimer(PROBE_TIMER, PROBE_INTERVAL_S)]
        self._suspect_unresponsive(now_s)
        self._expire(now_s)
        sent: list[effects.Effect] = [
            effects.StartTimer(PROBE_TIMER, PROBE_INTERVAL_S)
        ]
        subject = self._next_member()
        if subject is not None:
            self._probed_host = subject.peer.host
            self._probed_sequence = self._next_sequence()
            self._extra_periods = self.local_health_score
            sent.append(self._probe(subject.peer, self._probed_sequence))
            sent.append(effects.StartTimer(INDIRECT_TIMER, ACK_TIMEOUT_S))
        if self.is_joining:
            known = [
                member.peer
                for member in self.view.present(self.local_peer.host)
            ]
            peer = self.random.choice([*self.seeds, *known])
            sent.append(self._fetch(peer, ""))
        if now_s >= self._recontact_s:
            self._recontact_s = now_s + RECONTACT_INTERVAL_S
            sent.extend(self._recontact())
        return sent

    def _restart_suspicions(self, now_s: float) -> None:
        """Gives all suspects their time again, after a suspension.

        Their refutations may not be read yet, nor may the `Ack` of the member
        that was probed last, whose probe gets another period.
        """
        for member in self.view.members.values():
            if member.state is membership.State.SUSPECT:
                member.since_s = now_s

    def _suspect_unresponsive(self, now_s: float) -> None:
        """Suspects the member whose probe got no `Ack`, if there is one."""
        member = self.view.members.get(self._probed_host)
        self._probed_host = ""
        if member is None:
            return
        self.local_health_score = min(
            self.local_health_score + 1, MAX_LOCAL_HEALTH_SCORE
        )
        if member.state is membership.State.ALIVE:
            self._set_state(member, membership.State.SUSPECT, now_s)

    def _expire(self, now_s: float) -> None:
        """Ends suspicions and leaves, and removes outdated entries."""
        suspicion_timeout_s = (
            SUSPICION_TIMEOUT_S
            + SUSPICION_PER_DOUBLING_S * math.log2(len(self.view.members))
        )
        for member in list(self.view.members.values()):
            age_s = now_s - member.since_s
            if member.state is membership.State.SUSPECT:
                if age_s >= suspicion_timeout_s:
                    self._set_state(member, membership.State.DEAD, now_s)
            elif member.state is membership.State.LEAVING:
                if (
                    age_s >= suspicion_timeout_s + HANDOVER_S
                    and member.peer != self.local_peer
                ):
                    self._set_state(member, membership.State.LEFT, now_s)
            elif member.state >= membership.State.DEAD and age_s > TOMBSTONE_S:
                self.view.remove(member.peer.host)
        self._indirect_probes = {
            sequence: probe
            for sequence, probe in self._indirect_probes.items()
            if probe.expires_s > now_s
        }

    def _probe_indirectly(self) -> list[effects.Effect]:
        """Requests indirect probes of the member that has sent no `Ack`."""
        member = self.view.members.get(self._probed_host)
        if member is None:
            return []
        helpers = [
            other
            for other in self.view.present(self.local_peer.host)
            if other is not member
        ]
        chosen = self.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        request = membership.ProbeRequest(
            self._probed_sequence, member.to_update()
        )
        return [effects.SendMessage(helper.peer, request) for helper in chosen]

    def _recontact(self) -> list[effects.Effect]:
        """Contacts a seed that is not a member, or a dead member."""
        if self.is_leaving:
            return []
        unknown = [
            seed for seed in self.seeds if seed.host not in self.view.members
        ]
        if unknown:
            return [self._fetch(self.random.choice(unknown), "")]
        if not self._has_refetched:
            return self._fetch_second_view()
        dead = self.view.dead()
        if not dead:
            return []
        # The probe carries the state of the receiver in this view, which the
        # receiver then refutes if it is alive.
        peer = self.random.choice(dead).peer
        return [self._probe(peer, self._next_sequence())]

    def _fetch_second_view(self) -> list[effects.Effect]:
        """Fetches a full view a second time, if other members are present.

        When a whole failure domain starts at once, the first view that a host
        fetches holds only few members.
        """
        self._has_refetched = True
        others = [
            member.peer for member in self.view.present(self.local_peer.host)
        ]
        if not others:
            return []
        # The seeds know the most members, since every host joins through
        # them.
        known = {peer.host for peer in others}
        seeds = [seed for seed in self.seeds if seed.host in known]
        self._is_fetching = True
        return [self._fetch(self.random.choice(seeds or others), "")]

    def _handle_probe(
        self, now_s: float, sender: peers.Peer, message: membership.Probe
    ) -> list[effects.Effect]:
        """Responds to a probe."""
        self._apply_updates(message.updates, now_s)
        ack = membership.Ack(
            message.sequence,
            self.view.digest,
            self.dissemination.select_updates(self.view, sender.host),
        )
        return [effects.SendMessage(sender, ack)]

    def _handle_ack(
        self, now_s: float, sender: peers.Peer, message: membership.Ack
    ) -> list[effects.Effect]:
        """Accepts an `Ack`, or relays it to the member that requested it."""
        self._apply_updates(message.updates, now_s)
        probe = self._indirect_probes.pop(message.sequence, None)
        if probe is not None:
            ack = membership.Ack(probe.sequence, self.view.digest)
            return [effects.SendMessage(probe.origin, ack)]
        if message.sequence != self._probed_sequence or not self._probed_host:
            return []
        self._probed_host = ""
        self.local_health_score = max(self.local_health_score - 1, 0)
        return self._compare_digest(sender, message.digest)

    def _compare_digest(
        self, sender: peers.Peer, digest: int
    ) -> list[effects.Effect]:
        """Fetches a page of the sender's view if the views keep differing.

        Every `MISMATCHES_PER_FETCH` consecutive mismatches fetch one page.
        One page at a time keeps the traffic low; the next fetch continues
        after that page.
        """
        if digest == self.view.digest:
            self._digest_mismatches = 0
            return []
        self._digest_mismatches += 1
        if self._digest_mismatches % MISMATCHES_PER_FETCH:
            return []
        return [self._fetch(sender, self._page_cursor)]

    def _handle_probe_request(
        self,
        now_s: float,
        sender: peers.Peer,
        message: membership.ProbeRequest,
    ) -> list[effects.Effect]:
        """Probes a third member on behalf of the sender."""
        sequence = self._next_sequence()
        self._indirect_probes[sequence] = IndirectProbe(
            sender, message.sequence, now_s + INDIRECT_PROBE_LIFETIME_S
        )
        subject = message.subject
        peer = peers.Peer(
            subject.host, self.local_peer.domain, subject.control, subject.data
        )
        return [self._probe(peer, sequence)]

    def _handle_fetch(
        self,
        now_s: float,
        sender: peers.Peer,
        message: membership.MembersFetch,
    ) -> list[effects.Effect]:
        """Applies the state of the sender and sends it a page of the view."""
        self._apply_updates((message.subject,), now_s)
        members = self.view.page(message.after, PAGE_MEMBERS)
        page = membership.MembersPage(
            tuple(member.to_update() for member in members),
            len(members) < PAGE_MEMBERS,
        )
        return [effects.SendMessage(sender, page)]

    def _handle_page(
        self,
        now_s: float,
        sender: peers.Peer,
        message: membership.MembersPage,
    ) -> list[effects.Effect]:
        """Applies a page; while fetching a view, requests the next at once."""
        self._apply_updates(message.members, now_s)
        if message.is_last or not message.members:
            self._page_cursor = ""
            self._is_fetching = False
            self.is_joining = False
            return []
        self._page_cursor = message.members[-1].host
        if not self._is_fetching:
            return []
        return [self._fetch(sender, self._page_cursor)]

    def _apply_updates(
        self, updates: tuple[membership.Update, ...], now_s: float
    ) -> None:
        """Applies updates; refutes those that are wrong about this host."""
        for update in updates:
            if update.host == self.local_peer.host:
                self._refute(update, now_s)
            elif self.view.apply(update, now_s):
                self.dissemination.add(update.host, len(self.view.members))

    def _refute(self, update: membership.Update, now_s: float) -> None:
        """Raises the incarnation of this host above that of a wrong update."""
        local = self.view.members[self.local_peer.host]
        if (update.incarnation, update.state) <= (
            local.incarnation,
            local.state,
        ):
            return
        self.local_health_score = min(
            self.local_health_score + 1, MAX_LOCAL_HEALTH_SCORE
        )
        self._set_local_state(local.state, update.incarnation + 1, now_s)

    def _set_local_state(
        self, state: membership.State, incarnation: int, now_s: float
    ) -> None:
        """Sets the state of this host and queues it for dissemination."""
        update = membership.Update(
            self.local_peer.host,
            self.local_peer.control,
            self.local_peer.data,
            incarnation,
            state,
        )
        self.view.apply(update, now_s)
        self.dissemination.add(self.local_peer.host, len(self.view.members))

    def _set_state(
        self, member: view.Member, state: membership.State, now_s: float
    ) -> None:
        """Sets the state of another member and queues it for dissemination."""
        update = membership.Update(
            member.peer.host,
            member.peer.control,
            member.peer.data,
            member.incarnation,
            state,
        )
        self.view.apply(update, now_s)
        self.dissemination.add(member.peer.host, len(self.view.members))

    def _notify_members(self) -> list[effects.Effect]:
        """Sends the state of this host to some members at once."""
        others = self.view.present(self.local_peer.host)
        chosen = self.random.sample(others, min(PAGE_MEMBERS, len(others)))
        updates = (self.view.members[self.local_peer.host].to_update(),)
        return [
            effects.SendMessage(
                member.peer,
                membership.Probe(
                    self._next_sequence(), self.view.digest, updates
                ),
            )
            for member in chosen
        ]

    def _next_member(self) -> view.Member | None:
        """Returns the next member to probe; each round is shuffled anew."""
        while True:
            if not self._probe_order:
                present = self.view.present(self.local_peer.host)
                self._probe_order = [member.peer.host for member in present]
                self.random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.view.members.get(self._probe_order.pop())
            if member is not None and member.state in view.PRESENT_STATES:
                return member

    def _next_sequence(self) -> int:
        """Returns a sequence number that no probe in flight carries."""
        self._sequence += 1
        return self._sequence

    def _probe(self, peer: peers.Peer, sequence: int) -> effects.Effect:
        """Returns the effect that sends a probe."""
        updates = self.dissemination.select_updates(self.view, peer.host)
        return effects.SendMessage(
            peer, membership.Probe(sequence, self.view.digest, updates)
        )

    def _fetch(self, peer: peers.Peer, after: str) -> effects.Effect:
        """Returns the effect that fetches the page after a member."""
        subject = self.view.members[self.local_peer.host].to_update()
        return effects.SendMessage(
            peer, membership.MembersFetch(after, subject)
        )

"""Failure detection and joins: the part of membership that sends."""

import math
import random

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.membership import dissemination
from tamarack_core.internal.membership import view
from tamarack_core.messages import membership

PROBE_TIMER = "membership-probe"
INDIRECT_TIMER = "membership-indirect"
STOP_TIMER = "membership-stop"

PROBE_INTERVAL_S = 1.0
ACK_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SUSPICION_S = 2.0
# A change needs about log2(members) periods to reach everyone, and so does
# the refutation of a suspicion.
SUSPICION_PER_DOUBLING_S = 0.6
HANDOVER_S = 3.0
RECONTACT_INTERVAL_S = 5.0
TOMBSTONE_S = 600.0
PAGE_MEMBERS = 16
HEALTH_LIMIT = 4
DIGEST_PATIENCE = 4
RELAY_LIFETIME_S = 3.0


class Relay:
    """A probe that this host sends on behalf of another.

    Attributes:
        origin: The member that asked.
        sequence: Number that it wants repeated.
        expires_s: Monotonic time after which the answer is of no use.
    """

    __slots__ = ("expires_s", "origin", "sequence")

    def __init__(
        self, origin: peers.Peer, sequence: int, expires_s: float
    ) -> None:
        """Creates a relay."""
        self.origin = origin
        self.sequence = sequence
        self.expires_s = expires_s


class SwimProtocol:
    """Membership of one host.

    Attributes:
        me: Identity and addresses of this host.
        seeds: Peers from the settings, contacted until they are members.
        random: Seeded generator.
        view: What this host holds about each member.
        spread: Changes to pass on.
        health: Number of periods by which this host stretches its timeouts,
            because it missed answers itself.
        is_joining: Whether this host still reads a first view.
        is_leaving: Whether a graceful stop has begun.
    """

    __slots__ = (
        "_cursor",
        "_differences",
        "_is_read_twice",
        "_is_reading",
        "_order",
        "_probed",
        "_probed_sequence",
        "_recontact_s",
        "_relays",
        "_sequence",
        "_stretch",
        "health",
        "is_joining",
        "is_leaving",
        "me",
        "random",
        "seeds",
        "spread",
        "view",
    )

    def __init__(
        self,
        me: peers.Peer,
        seeds: tuple[peers.Peer, ...],
        generator: random.Random,
    ) -> None:
        """Creates the membership of a host that has not started.

        Args:
            me: Identity and addresses of this host.
            seeds: Peers from the settings; those of other failure domains
                are left out.
            generator: Seeded generator.
        """
        self.me = me
        self.seeds = tuple(
            seed
            for seed in seeds
            if seed.domain == me.domain and seed.host != me.host
        )
        self.random = generator
        self.view = view.MembershipView(me.domain)
        self.spread = dissemination.Dissemination()
        self.health = 0
        self.is_leaving = False
        self._sequence = 0
        self._order: list[str] = []
        self._probed = ""
        self._probed_sequence = 0
        self._stretch = 0
        self._recontact_s = 0.0
        self._relays: dict[int, Relay] = {}
        self._differences = 0
        self._cursor = ""
        self.is_joining = bool(self.seeds)
        self._is_read_twice = False
        self._is_reading = self.is_joining

    def start(self, now_s: float, wall_ms: int) -> list[effects.Effect]:
        """Begins to probe and joins through the seeds.

        Args:
            now_s: Monotonic time in seconds.
            wall_ms: Wall-clock time in milliseconds. It is the first
                incarnation, so that a restarted host overrides its past.
        """
        self._announce(membership.State.ALIVE, wall_ms, now_s)
        self._recontact_s = now_s + RECONTACT_INTERVAL_S
        first = self.random.random() * PROBE_INTERVAL_S
        return [
            effects.StartTimer(PROBE_TIMER, first),
            *(self._fetch(seed, "") for seed in self.seeds),
        ]

    def leave(self, now_s: float) -> list[effects.Effect]:
        """Begins a graceful stop.

        The host owns no flow from now on, but goes on carrying packets until
        `STOP_TIMER` fires.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.is_leaving:
            return []
        self.is_leaving = True
        incarnation = self.view.members[self.me.host].incarnation + 1
        self._announce(membership.State.LEAVING, incarnation, now_s)
        return [
            *self._tell_some(),
            effects.StartTimer(STOP_TIMER, HANDOVER_S),
        ]

    def stop(self, now_s: float) -> list[effects.Effect]:
        """Ends a graceful stop: tells that this host has left.

        Args:
            now_s: Monotonic time in seconds.
        """
        incarnation = self.view.members[self.me.host].incarnation
        self._announce(membership.State.LEFT, incarnation, now_s)
        return self._tell_some()

    def handle_timer(self, now_s: float, timer: str) -> list[effects.Effect]:
        """Reacts to one of the timers of this module.

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
        """Reacts to a message of this part.

        Args:
            now_s: Monotonic time in seconds.
            sender: The host that sent it.
            message: The message.
        """
        if sender.domain != self.me.domain:
            return []
        match message:
            case membership.Probe():
                return self._handle_probe(now_s, sender, message)
            case membership.Ack():
                return self._handle_ack(now_s, sender, message)
            case membership.ProbeRequest():
                return self._handle_request(now_s, sender, message)
            case membership.MembersFetch():
                return self._handle_fetch(now_s, sender, message)
            case membership.MembersPage():
                return self._handle_page(now_s, sender, message)

    def _begin_period(self, now_s: float) -> list[effects.Effect]:
        """Judges the last probe, sends the next, lets suspicions run out."""
        if self._probed and self._stretch:
            # This host is slow itself; the probe gets another period.
            self._stretch -= 1
            return [effects.StartTimer(PROBE_TIMER, PROBE_INTERVAL_S)]
        self._judge(now_s)
        self._expire(now_s)
        sent: list[effects.Effect] = [
            effects.StartTimer(PROBE_TIMER, PROBE_INTERVAL_S)
        ]
        subject = self._next_subject()
        if subject is not None:
            self._probed = subject.peer.host
            self._probed_sequence = self._next_sequence()
            self._stretch = self.health
            sent.append(self._probe(subject.peer, self._probed_sequence))
            sent.append(effects.StartTimer(INDIRECT_TIMER, ACK_TIMEOUT_S))
        if self.is_joining:
            known = [member.peer for member in self.view.present(self.me.host)]
            peer = self.random.choice([*self.seeds, *known])
            sent.append(self._fetch(peer, ""))
        if now_s >= self._recontact_s:
            self._recontact_s = now_s + RECONTACT_INTERVAL_S
            sent.extend(self._recontact())
        return sent

    def _judge(self, now_s: float) -> None:
        """Suspects the member whose probe was not answered."""
        member = self.view.members.get(self._probed)
        self._probed = ""
        if member is None:
            return
        self.health = min(self.health + 1, HEALTH_LIMIT)
        if member.state is membership.State.ALIVE:
            self._change(member, membership.State.SUSPECT, now_s)

    def _expire(self, now_s: float) -> None:
        """Declares suspects dead and forgets the long dead."""
        patience_s = SUSPICION_S + SUSPICION_PER_DOUBLING_S * math.log2(
            len(self.view.members)
        )
        for member in list(self.view.members.values()):
            age_s = now_s - member.since_s
            if member.state is membership.State.SUSPECT:
                if age_s >= patience_s:
                    self._change(member, membership.State.DEAD, now_s)
            elif member.state is membership.State.LEAVING:
                if age_s >= patience_s + HANDOVER_S and member.peer != self.me:
                    self._change(member, membership.State.LEFT, now_s)
            elif member.state >= membership.State.DEAD and age_s > TOMBSTONE_S:
                self.view.forget(member.peer.host)
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if relay.expires_s > now_s
        }

    def _probe_indirectly(self) -> list[effects.Effect]:
        """Asks others to probe the member that has not answered."""
        member = self.view.members.get(self._probed)
        if member is None:
            return []
        helpers = [
            other
            for other in self.view.present(self.me.host)
            if other is not member
        ]
        chosen = self.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        request = membership.ProbeRequest(
            self._probed_sequence, member.to_update()
        )
        return [effects.SendMessage(helper.peer, request) for helper in chosen]

    def _recontact(self) -> list[effects.Effect]:
        """Tries a seed that is no member, or a member held to be dead."""
        if self.is_leaving:
            return []
        unknown = [
            seed for seed in self.seeds if seed.host not in self.view.members
        ]
        if unknown:
            return [self._fetch(self.random.choice(unknown), "")]
        if not self._is_read_twice:
            return self._read_again()
        gone = self.view.gone()
        if not gone:
            return []
        # The probe carries what this host holds about the receiver, which
        # then refutes it.
        peer = self.random.choice(gone).peer
        return [self._probe(peer, self._next_sequence())]

    def _read_again(self) -> list[effects.Effect]:
        """Reads a second view in full.

        When a whole failure domain starts, the first view that a host reads
        holds few members yet.
        """
        self._is_read_twice = True
        others = [member.peer for member in self.view.present(self.me.host)]
        if not others:
            return []
        # The seeds know the most, since every host asks them first.
        known = {peer.host for peer in others}
        seeds = [seed for seed in self.seeds if seed.host in known]
        self._is_reading = True
        return [self._fetch(self.random.choice(seeds or others), "")]

    def _handle_probe(
        self, now_s: float, sender: peers.Peer, message: membership.Probe
    ) -> list[effects.Effect]:
        """Answers a probe."""
        self._take(message.updates, now_s)
        ack = membership.Ack(
            message.sequence,
            self.view.digest,
            self.spread.take(self.view, sender.host),
        )
        return [effects.SendMessage(sender, ack)]

    def _handle_ack(
        self, now_s: float, sender: peers.Peer, message: membership.Ack
    ) -> list[effects.Effect]:
        """Notes an answer, or hands it to the member that asked."""
        self._take(message.updates, now_s)
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            answer = membership.Ack(relay.sequence, self.view.digest)
            return [effects.SendMessage(relay.origin, answer)]
        if message.sequence != self._probed_sequence or not self._probed:
            return []
        self._probed = ""
        self.health = max(self.health - 1, 0)
        return self._compare(sender, message.digest)

    def _compare(self, sender: peers.Peer, digest: int) -> list[effects.Effect]:
        """Reads a page of the sender's view while views differ for long.

        One page at a time keeps the traffic small; the next difference reads
        the page after it.
        """
        if digest == self.view.digest:
            self._differences = 0
            return []
        self._differences += 1
        if self._differences % DIGEST_PATIENCE:
            return []
        return [self._fetch(sender, self._cursor)]

    def _handle_request(
        self,
        now_s: float,
        sender: peers.Peer,
        message: membership.ProbeRequest,
    ) -> list[effects.Effect]:
        """Probes a member on behalf of the sender."""
        sequence = self._next_sequence()
        self._relays[sequence] = Relay(
            sender, message.sequence, now_s + RELAY_LIFETIME_S
        )
        subject = message.subject
        peer = peers.Peer(
            subject.host, self.me.domain, subject.control, subject.data
        )
        return [self._probe(peer, sequence)]

    def _handle_fetch(
        self,
        now_s: float,
        sender: peers.Peer,
        message: membership.MembersFetch,
    ) -> list[effects.Effect]:
        """Takes in a host that joins and sends it a page of the view."""
        self._take((message.subject,), now_s)
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
        """Takes in a page; a host that joins asks for the next at once."""
        self._take(message.members, now_s)
        if message.is_last or not message.members:
            self._cursor = ""
            self._is_reading = False
            self.is_joining = False
            return []
        self._cursor = message.members[-1].host
        if not self._is_reading:
            return []
        return [self._fetch(sender, self._cursor)]

    def _take(
        self, updates: tuple[membership.Update, ...], now_s: float
    ) -> None:
        """Takes in reports; refutes those that call this host gone."""
        for update in updates:
            if update.host == self.me.host:
                self._refute(update, now_s)
            elif self.view.apply(update, now_s):
                self.spread.add(update.host, len(self.view.members))

    def _refute(self, update: membership.Update, now_s: float) -> None:
        """Raises the own incarnation above a report that is wrong."""
        mine = self.view.members[self.me.host]
        if (update.incarnation, update.state) <= (
            mine.incarnation,
            mine.state,
        ):
            return
        self.health = min(self.health + 1, HEALTH_LIMIT)
        self._announce(mine.state, update.incarnation + 1, now_s)

    def _announce(
        self, state: membership.State, incarnation: int, now_s: float
    ) -> None:
        """Sets the own state and queues it for the others."""
        update = membership.Update(
            self.me.host, self.me.control, self.me.data, incarnation, state
        )
        self.view.apply(update, now_s)
        self.spread.add(self.me.host, len(self.view.members))

    def _change(
        self, member: view.Member, state: membership.State, now_s: float
    ) -> None:
        """Sets the state of another member and queues the change."""
        update = membership.Update(
            member.peer.host,
            member.peer.control,
            member.peer.data,
            member.incarnation,
            state,
        )
        self.view.apply(update, now_s)
        self.spread.add(member.peer.host, len(self.view.members))

    def _tell_some(self) -> list[effects.Effect]:
        """Sends the own state to a few members at once."""
        others = self.view.present(self.me.host)
        chosen = self.random.sample(others, min(PAGE_MEMBERS, len(others)))
        mine = (self.view.members[self.me.host].to_update(),)
        return [
            effects.SendMessage(
                member.peer,
                membership.Probe(self._next_sequence(), self.view.digest, mine),
            )
            for member in chosen
        ]

    def _next_subject(self) -> view.Member | None:
        """Returns the next member to probe, each once in a random round."""
        while True:
            if not self._order:
                present = self.view.present(self.me.host)
                self._order = [member.peer.host for member in present]
                self.random.shuffle(self._order)
                if not self._order:
                    return None
            member = self.view.members.get(self._order.pop())
            if member is not None and member.state in view.PRESENT_STATES:
                return member

    def _next_sequence(self) -> int:
        """Returns a number that no probe in flight carries."""
        self._sequence += 1
        return self._sequence

    def _probe(self, peer: peers.Peer, sequence: int) -> effects.Effect:
        """Returns the effect that probes a member."""
        updates = self.spread.take(self.view, peer.host)
        return effects.SendMessage(
            peer, membership.Probe(sequence, self.view.digest, updates)
        )

    def _fetch(self, peer: peers.Peer, after: str) -> effects.Effect:
        """Returns the effect that asks a peer for a page."""
        mine = self.view.members[self.me.host].to_update()
        return effects.SendMessage(peer, membership.MembersFetch(after, mine))

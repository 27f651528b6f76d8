"""Random faults of a group of control hosts.

Guards against acknowledged documents that are lost, against reads that return
an older document, against evacuation orders that are lost or reverted by a
delayed duplicate, and against control hosts that say they are confirmed while
they hold an older state, when hosts die, lose their disk, are cut off, are
stopped or replaced, or all lose power.
"""

import os
import random

import testtools

from tamarack_core import evacuations
from tamarack_core import external_requests
from tests import group_network

APPLY_S = 3.0
"""Time in which an acknowledged document has to be in force, in seconds."""

DUPLICATE_MARGIN_S = 1.1
"""Time that a duplicate may take from its sending to its commit, in seconds;
an order waits for up to a second at a leader."""

DUPLICATES_S = 1.5
"""Time in which duplicates arrive after an order was reversed, in seconds; a
new leader commits within it."""

CI_SEEDS = 8
SOAK_SEEDS = 60
STEPS = 60


def seeds():
    """Returns the seeds to run: fixed ones in CI, more in a soak."""
    if os.environ.get("TAMARACK_PROFILE") == "soak":
        first = int(os.environ.get("TAMARACK_SOAK_SEED", "5000"))
        return range(first, first + SOAK_SEEDS)
    return range(1, CI_SEEDS + 1)


class Order:
    """An evacuation order that was sent, and may have been applied.

    Attributes:
        order: The order.
        sent_s: Time at which it was sent, in seconds.
        acknowledged_s: Time of its acknowledgement in seconds; None before.
    """

    def __init__(self, order, sent_s):
        """Initializes an order without an answer."""
        self.order = order
        self.sent_s = sent_s
        self.acknowledged_s = None


class Orders:
    """The evacuation orders of one history, and what they allow.

    Attributes:
        sent: Orders that may have been applied, in the order of sending. One
            that was refused as ambiguous must not be applied.
    """

    def __init__(self):
        """Initializes a history without orders."""
        self.sent = []

    def allowed(self, domain, now_s, apply_s):
        """Returns the states that a domain may have at a confirmed host.

        It has that of an order acknowledged long enough before, or that of
        any order that was sent later.

        Args:
            domain: The failure domain.
            now_s: Time in seconds.
            apply_s: Time in which an acknowledged order is applied, in seconds.

        Returns:
            Set of whether the domain is evacuated.
        """
        states = {False}
        for sent in self.sent:
            if sent.order.domain != domain:
                continue
            is_due = (
                sent.acknowledged_s is not None
                and now_s - sent.acknowledged_s > apply_s
            )
            if is_due:
                states = set()
            states.add(sent.order.action is evacuations.Action.START)
        return states

    def acknowledged(self, now_s, age_s):
        """Returns the acknowledged orders that were sent recently."""
        return [
            sent.order
            for sent in self.sent
            if sent.acknowledged_s is not None and now_s - sent.sent_s < age_s
        ]


class History:
    """One random history of a group of control hosts.

    At most one host is down, wiped or cut off at a time, which is the number
    of failures that the group tolerates; besides, all may lose power at once.
    After each fault the host has time to catch up, as on the platform.

    Attributes:
        network: Simulated network of the hosts.
        random: Seeded random generator.
        acknowledged: Highest document number that was acknowledged.
        sent: Number of the last document that was sent.
        acknowledged_s: Time of the first acknowledgement of each document, in
            seconds.
        orders: Evacuation orders that were sent.
        next_host: Number of the next host that replaces one.
    """

    def __init__(self, seed):
        """Starts the hosts."""
        self.random = random.Random(seed)
        count = self.random.choice([3, 4])
        self.network = group_network.GroupNetwork(count, seed=seed)
        self.network.start_all()
        self.acknowledged = 0
        self.acknowledged_s = {}
        self.sent = 0
        self.orders = Orders()
        self.next_host = 11

    def step(self):
        """Runs one operation or fault, drawn at random."""
        self.random.choice(
            [
                self.publish,
                self.publish,
                self.publish,
                self.order,
                self.order,
                self.duplicate,
                self.reverse,
                self.read,
                self.kill,
                self.wipe,
                self.cut,
                self.cut,
                self.replace,
                self.replace_as_planned,
                self.replace_beside_lost_disk,
                self.restart_as_planned,
                self.lose_power,
            ]
        )()
        self.check_confirmed()

    def publish(self):
        """Sends a document to a random host; records an acknowledgement."""
        self.sent += self.random.randint(1, 3)
        host = self.random.choice(sorted(self.network.peers))
        ports = self.random.sample(range(1, 9), 4)
        routes = [group_network.route(f"r{port}", port) for port in ports]
        document = group_network.document(self.sent, *routes)
        response = self.network.try_at(
            host, external_requests.PublishDocument(document)
        )
        if isinstance(response, external_requests.DocumentPublished):
            self.acknowledged = max(self.acknowledged, response.number)
            self.acknowledged_s.setdefault(response.number, self.network.now_s)
        self.check_confirmed()

    def order(self):
        """Sends an evacuation order to a random host."""
        domain = self.random.choice(sorted(group_network.DOMAINS))
        states = self.orders.allowed(domain, self.network.now_s, 0.0)
        # Most orders change the state.
        is_start = (True not in states) != (self.random.random() < 0.1)
        order = evacuations.Order(
            domain,
            evacuations.Action.START if is_start else evacuations.Action.END,
        )
        sent = Order(order, self.network.now_s)
        response = self._send_order(order)
        is_ambiguous = (
            isinstance(response, external_requests.Unavailable)
            and response.reason == "ambiguous-order"
        )
        if not is_ambiguous:
            self.orders.sent.append(sent)
        if isinstance(response, external_requests.EvacuationOrdered):
            sent.acknowledged_s = self.network.now_s
        self.check_confirmed()

    def duplicate(self):
        """Delivers a delayed duplicate of an order that was acknowledged.

        It may be acknowledged if it repeats what is in force, and has no
        effect.
        """
        recent = self.orders.acknowledged(
            self.network.now_s, group_network.REPEAT_S - DUPLICATE_MARGIN_S
        )
        if recent:
            self._send_order(self.random.choice(recent))
        self.check_confirmed()

    def reverse(self):
        """Reverses an order; duplicates arrive beside a change of leader."""
        self.order()
        self.network.run(self.random.uniform(0.0, 1.0))
        self.order()
        killed = None
        if self.random.random() < 0.5 and self.network.leaders():
            killed = self.random.choice(sorted(self.network.leaders()))
            self.network.kill(killed)
        end_s = self.network.now_s + DUPLICATES_S
        while self.network.now_s < end_s:
            self._deliver_duplicate()
            self.network.run(self.random.uniform(0.0, 0.01))
        if killed is not None:
            self.network.start(killed)
            self._wait_until_stable()
        self.check_confirmed()

    def _deliver_duplicate(self):
        """Delivers a duplicate to a running host without waiting for it."""
        recent = self.orders.acknowledged(
            self.network.now_s, group_network.REPEAT_S - DUPLICATE_MARGIN_S
        )
        if recent:
            order = self.random.choice(recent)
            self.network.ask(
                self.random.choice(sorted(self.network.nodes)),
                external_requests.OrderEvacuation(order),
            )

    def _send_order(self, order):
        """Sends an order to a random host and returns the answer."""
        host = self.random.choice(sorted(self.network.peers))
        return self.network.try_at(
            host, external_requests.OrderEvacuation(order)
        )

    def check_confirmed(self):
        """Checks that each confirmed host holds what it has to hold by now."""
        for host in self.network.nodes:
            control = self.network.component_of(
                host, external_requests.PublishDocument
            )
            if control.publisher.is_confirmed:
                self.check_evacuations(host, APPLY_S)
        due = max(
            (
                number
                for number, at_s in self.acknowledged_s.items()
                if self.network.now_s - at_s > APPLY_S
            ),
            default=0,
        )
        for host in self.network.nodes:
            control = self.network.component_of(
                host, external_requests.PublishDocument
            )
            held = control.machine.document.number
            if control.publisher.is_confirmed and held < due:
                raise AssertionError(
                    f"{host} is confirmed and holds {held}; {due} was"
                    f" acknowledged over {APPLY_S} s before"
                )

    def check_evacuations(self, host, apply_s):
        """Checks the evacuated domains at a host.

        Args:
            host: The host.
            apply_s: Time in which an acknowledged order is applied, in seconds.
        """
        held = self.network.evacuated(host)
        for domain in group_network.DOMAINS:
            allowed = self.orders.allowed(domain, self.network.now_s, apply_s)
            if (domain in held) not in allowed:
                raise AssertionError(
                    f"{host} holds {held}, but {domain} must be in {allowed}"
                )

    def read(self):
        """Reads at a random host; an older document is an error."""
        known = self.acknowledged
        host = self.random.choice(sorted(self.network.peers))
        response = self.network.try_at(host, external_requests.ReadDocument())
        if not isinstance(response, external_requests.DocumentRead):
            return
        if response.document.number < known:
            raise AssertionError(
                f"{host} read {response.document.number}, {known} was"
                " acknowledged before"
            )

    def kill(self):
        """Kills a host and restarts it with its disk."""
        host = self.random.choice(sorted(self.network.nodes))
        self.network.kill(host)
        self._publish_meanwhile()
        self.network.start(host)
        self._wait_until_stable()

    def wipe(self):
        """Kills a host right after a publish; restarts it without its disk."""
        self.publish()
        host = self.random.choice(sorted(self.network.nodes))
        self.network.kill(host, lose_disk=True)
        self._publish_meanwhile()
        self.network.start(host)
        self._wait_until_stable()

    def cut(self):
        """Cuts a host off for a while, in one or both directions."""
        host = self.random.choice(sorted(self.network.nodes))
        if self.random.random() < 0.5:
            self.network.isolate(host)
        else:
            for other in self.network.peers:
                self.network.cut.add((host, other))
        self._publish_meanwhile()
        self.read()
        self.network.cut.clear()
        self._wait_until_stable()

    def replace(self):
        """Removes a host permanently; another starts at a new address."""
        host = self.random.choice(sorted(self.network.nodes))
        self.network.kill(host, lose_disk=True)
        del self.network.peers[host]
        self._publish_meanwhile()
        self.network.add(self.next_host)
        self.next_host += 1
        self.network.run(10.0)

    def replace_as_planned(self):
        """Starts a successor and stops a host; then another loses its disk."""
        self.network.add(self.next_host)
        self.next_host += 1
        self.network.run(6.0)
        stopped = self.random.choice(sorted(self.network.nodes))
        self.network.stop(stopped)
        del self.network.peers[stopped]
        self.publish()
        self.wipe()

    def replace_beside_lost_disk(self):
        """Starts a successor and removes a host; then another loses its disk.

        The second loss follows after any time, also at the successor.
        """
        self.network.add(self.next_host)
        self.next_host += 1
        self.network.run(6.0)
        removed = self.random.choice(sorted(self.network.nodes))
        self.network.kill(removed, lose_disk=True)
        del self.network.peers[removed]
        if self.random.random() < 0.5:
            self.publish()
        self.network.run(self.random.uniform(0.0, 3.0))
        wiped = self.random.choice(sorted(self.network.nodes))
        self.network.kill(wiped, lose_disk=True)
        self.network.run(self.random.uniform(0.3, 1.5))
        self.network.start(wiped)
        self._wait_until_stable()
        self.publish()
        self.read()

    def restart_as_planned(self):
        """Stops a host and starts it again with its disk."""
        host = self.random.choice(sorted(self.network.nodes))
        self.network.stop(host)
        self._publish_meanwhile()
        self.network.start(host)
        self._wait_until_stable()

    def lose_power(self):
        """Kills all hosts at once, right after a publish and an order."""
        self.publish()
        self.order()
        for host in list(self.network.nodes):
            self.network.kill(host)
        for host in sorted(self.network.peers):
            self.network.run(self.random.uniform(0.0, 0.3))
            self.network.start(host)
        self._wait_until_stable()

    def _publish_meanwhile(self):
        for _ in range(self.random.randint(0, 3)):
            self.random.choice(
                [self.publish, self.publish, self.order, self.duplicate]
            )()
        self.network.run(self.random.uniform(0.0, 4.0))
        self.check_confirmed()

    def _wait_until_stable(self):
        self.network.run(6.0)

    def check_recovery(self):
        """Checks recovery: one leader, no acknowledged document lost."""
        self.network.run(10.0)
        document = self.network.read()
        if document.number < self.acknowledged:
            raise AssertionError(
                f"{document.number} is read, {self.acknowledged} was"
                " acknowledged"
            )
        if len(self.network.leaders()) != 1:
            raise AssertionError(f"leaders: {self.network.leaders()}")
        for host in self.network.nodes:
            self.check_evacuations(host, 0.0)
        held = {self.network.evacuated(host) for host in self.network.nodes}
        if len(held) != 1:
            raise AssertionError(f"hosts differ: {held}")


class GroupModelTest(testtools.TestCase):
    """Acknowledged documents and orders survive random faults."""

    def test_nothing_acknowledged_is_lost_or_read_older(self):
        for seed in seeds():
            history = History(seed)
            try:
                for _ in range(STEPS):
                    history.step()
                history.check_recovery()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error

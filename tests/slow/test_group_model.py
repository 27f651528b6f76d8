"""Control hosts under random faults: nothing acknowledged is lost."""

import os
import random

import testtools

from tamarack_core import external_requests
from tests import group_network

CI_SEEDS = 6
SOAK_SEEDS = 60
STEPS = 60


def seeds():
    """Returns the seeds to play: fixed ones in CI, more in a soak."""
    if os.environ.get("TAMARACK_PROFILE") == "soak":
        first = int(os.environ.get("TAMARACK_SOAK_SEED", "5000"))
        return range(first, first + SOAK_SEEDS)
    return range(1, CI_SEEDS + 1)


class History:
    """One random history of a group of control hosts.

    At most one host is down, wiped or cut off at a time, as is tolerated;
    besides, all may lose power at once. After a loss the host has time to
    catch up, as the platform grants it.

    Attributes:
        network: The hosts.
        random: Seeded chance.
        acknowledged: Highest number that was acknowledged.
        sent: Number of the last document that was sent.
        next_host: Number of the next host that replaces one.
    """

    def __init__(self, seed):
        """Starts the hosts."""
        self.random = random.Random(seed)
        count = self.random.choice([3, 4])
        self.network = group_network.GroupNetwork(count, seed=seed)
        self.network.start_all()
        self.acknowledged = 0
        self.sent = 0
        self.next_host = 11

    def step(self):
        """Does one thing at random."""
        self.random.choice(
            [
                self.publish,
                self.publish,
                self.publish,
                self.read,
                self.kill,
                self.wipe,
                self.cut,
                self.replace,
                self.lose_power,
            ]
        )()

    def publish(self):
        """Sends a document to any host, and notes an acknowledgement."""
        self.sent += self.random.randint(1, 3)
        host = self.random.choice(sorted(self.network.peers))
        ports = self.random.sample(range(1, 9), 4)
        routes = [group_network.route(f"r{port}", port) for port in ports]
        document = group_network.document(self.sent, *routes)
        answer = self.network.try_at(
            host, external_requests.PublishDocument(document)
        )
        if isinstance(answer, external_requests.DocumentPublished):
            self.acknowledged = max(self.acknowledged, answer.number)

    def read(self):
        """Reads at any host; what it says is never older."""
        known = self.acknowledged
        host = self.random.choice(sorted(self.network.peers))
        answer = self.network.try_at(host, external_requests.ReadDocument())
        if not isinstance(answer, external_requests.DocumentRead):
            return
        if answer.document.number < known:
            raise AssertionError(
                f"{host} read {answer.document.number}, {known} was"
                " acknowledged before"
            )

    def kill(self):
        """Kills a host; it comes back with its disk."""
        host = self.random.choice(sorted(self.network.nodes))
        self.network.kill(host)
        self._order_meanwhile()
        self.network.start(host)
        self._settle()

    def wipe(self):
        """Kills a host right after an order; it comes back without a disk."""
        self.publish()
        host = self.random.choice(sorted(self.network.nodes))
        self.network.kill(host, lose_disk=True)
        self._order_meanwhile()
        self.network.start(host)
        self._settle()

    def cut(self):
        """Cuts a host off for a while, in one or both directions."""
        host = self.random.choice(sorted(self.network.nodes))
        if self.random.random() < 0.5:
            self.network.isolate(host)
        else:
            for other in self.network.peers:
                self.network.cut.add((host, other))
        self._order_meanwhile()
        self.read()
        self.network.cut.clear()
        self._settle()

    def replace(self):
        """Takes a host away for good; another comes at a new address."""
        host = self.random.choice(sorted(self.network.nodes))
        self.network.kill(host, lose_disk=True)
        del self.network.peers[host]
        self._order_meanwhile()
        self.network.add(self.next_host)
        self.next_host += 1
        self.network.run(10.0)

    def lose_power(self):
        """Kills all hosts at once, right after an order."""
        self.publish()
        for host in list(self.network.nodes):
            self.network.kill(host)
        for host in sorted(self.network.peers):
            self.network.run(self.random.uniform(0.0, 0.3))
            self.network.start(host)
        self._settle()

    def _order_meanwhile(self):
        for _ in range(self.random.randint(0, 3)):
            self.publish()
        self.network.run(self.random.uniform(0.0, 4.0))

    def _settle(self):
        self.network.run(6.0)

    def check_end(self):
        """After all faults, the newest document is read everywhere."""
        self.network.run(10.0)
        document = self.network.read()
        if document.number < self.acknowledged:
            raise AssertionError(
                f"{document.number} is read, {self.acknowledged} was"
                " acknowledged"
            )
        if len(self.network.leaders()) != 1:
            raise AssertionError(f"leaders: {self.network.leaders()}")


class GroupModelTest(testtools.TestCase):
    """Random histories of the group."""

    def test_nothing_acknowledged_is_lost_or_read_older(self):
        for seed in seeds():
            history = History(seed)
            try:
                for _ in range(STEPS):
                    history.step()
                history.check_end()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error

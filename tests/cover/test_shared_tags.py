"""Two targets whose names have the same checksum.

A target that may hold flows never loses their tag: a packet of a flow goes to
its target or nowhere, at each entry host, whatever that host knows.
"""

import itertools
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import testtools
from testtools import matchers

from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal import target_tags
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

FIRST, SECOND = ("i-75be4d1e", "i-4baa5d72")
"""Names of equal length with the same CRC-32."""

OTHER = "i-00000001"

SALTED = {SECOND: target_announcement.TagUse.SALTED}
SHARED = dict.fromkeys((FIRST, SECOND), target_announcement.TagUse.SHARED)

INTERVAL_S = 1.0


def known(name, **options):
    """Returns a target as a control host knows it."""
    port = {FIRST: 81, SECOND: 82, OTHER: 83}[name]
    return target_announcement.KnownTarget(
        cookie_host.target(name, port=port, **options)
    )


def entry_host(*targets, tag_uses=None, name="entry"):
    """Returns an entry host that knows some targets."""
    host = cookie_host.CookieHost(name=name)
    host.update(*targets, document=cookie_host.document(1), tag_uses=tag_uses)
    return host


def deliver(host, number, cookie, **options):
    """Sends a packet of a flow; returns its target and its tag afterwards."""
    sent = host.deliver(cookie_host.packet(number, cookie=cookie, **options))
    return (sent[1], sent[2]) if sent and sent[0] == "forward" else None


def opened(host, numbers):
    """Opens flows; returns the tags of those of each target."""
    tags = {}
    for number in numbers:
        name, tag = deliver(host, number, 0, is_opening=True)
        tags.setdefault(name, set()).add(tag)
    return tags


class TagTest(testtools.TestCase):
    """Tags of one target, and of two with one checksum."""

    def test_names_with_one_checksum_differ_by_their_salted_tags(self):
        self.assertEqual(target_tags.tag_of(FIRST), target_tags.tag_of(SECOND))
        tags = [
            *target_tags.salted_tags_of(FIRST),
            *target_tags.salted_tags_of(SECOND),
        ]
        self.assertEqual(len(tags), len(set(tags)))

    @hypothesis.given(st.text(max_size=30))
    def test_no_tag_is_both_plain_and_salted(self, name):
        assert 0 < target_tags.tag_of(name) < target_tags.MIN_SALTED
        for tag in target_tags.salted_tags_of(name):
            assert target_tags.MIN_SALTED <= tag < 1 << 32

    def test_without_a_collision_a_change_takes_no_more_bytes(self):
        update = sync.SyncUpdate("run", 0, 1, True, (known(FIRST),))
        data = msgspec.json.encode(update)
        self.assertNotIn(b"tag", data)
        self.assertEqual(10, len(msgspec.to_builtins(known(FIRST))[0]))


class SaltedTargetTest(testtools.TestCase):
    """Load: a target is added whose plain tag belongs to another one."""

    def registry(self, *names):
        registry = target_registry.TargetRegistry(INTERVAL_S)
        registry.set_services(0.0, ["web"])
        for name in names:
            registry.announce(1.0, known(name).target)
        return registry

    def tag_uses(self, registry):
        """Returns what another host is told of all targets."""
        return registry.tag_uses(
            known.target for known in registry.changes_since(2.0, 0)
        )

    # A target that had started earlier took the tag over from the one with
    # open flows, when it became known; their callers were reset.
    def test_the_tag_stays_with_the_target_that_was_known_first(self):
        for born_ms in (500, 1000, 1500):
            registry = self.registry(FIRST)
            later = known(SECOND, born_ms=born_ms).target
            registry.announce(1.5, later)
            self.assertEqual(SALTED, self.tag_uses(registry))

    def test_a_restart_of_a_control_host_keeps_the_mark(self):
        data = self.registry(FIRST, SECOND).encode(2.0)
        restarted = self.registry()
        restarted.restore(3.0, data)
        self.assertEqual(SALTED, self.tag_uses(restarted))
        restarted.announce(4.0, known(SECOND).target)
        self.assertEqual(SALTED, self.tag_uses(restarted))

    def test_the_tag_of_a_target_that_is_gone_stays_its_own_for_a_while(self):
        registry = self.registry(FIRST)
        registry.withdraw(1.2, FIRST, 1000)
        registry.announce(1.5, known(SECOND).target)
        self.assertEqual(SALTED, self.tag_uses(registry))

    def test_a_free_tag_is_given_out_again(self):
        registry = self.registry(FIRST)
        registry.withdraw(1.2, FIRST, 1000)
        registry.check_overdue(2.0 + target_registry.GONE_RETENTION_S)
        registry.announce(200.0, known(SECOND).target)
        self.assertEqual({}, self.tag_uses(registry))

    def test_one_that_had_the_tag_at_another_control_host_shares_it(self):
        registry = self.registry(FIRST, SECOND)
        position = registry.position
        plain = target_announcement.TagUse.PLAIN
        is_changed = registry.put(2.0, known(SECOND).target, tag_use=plain)
        self.assertTrue(is_changed)
        self.assertEqual(SHARED, self.tag_uses(registry))
        self.assertThat(registry.position, matchers.GreaterThan(position))
        salted = target_announcement.TagUse.SALTED
        registry.put(2.0, known(SECOND).target, tag_use=salted)
        self.assertEqual(SHARED, self.tag_uses(registry))

    def test_both_targets_get_flows_under_tags_of_their_own(self):
        host = entry_host(known(FIRST), known(SECOND), tag_uses=SALTED)
        tags = opened(host, range(40))
        self.assertEqual({FIRST, SECOND}, set(tags))
        self.assertEqual({target_tags.tag_of(FIRST)}, tags[FIRST])
        self.assertEqual({target_tags.salted_tags_of(SECOND)[0]}, tags[SECOND])

    def test_hosts_decide_alike_in_whatever_order_they_learn(self):
        plain = target_tags.tag_of(FIRST)
        salted = target_tags.salted_tags_of(SECOND)[0]
        both = [known(FIRST), known(SECOND)]
        for targets in (both, both[::-1], both[:1], both[1:]):
            host = entry_host(*targets, tag_uses=SALTED)
            names = {item.target.name for item in targets}
            for number, (cookie, name) in enumerate(
                [(plain, FIRST), (salted, SECOND)]
            ):
                sent = deliver(host, number, cookie)
                expected = (name, cookie) if name in names else None
                self.assertEqual(expected, sent)
            self.assertEqual([], host.resets)

    def test_open_flows_stay_when_the_other_target_becomes_known(self):
        for born_ms in (500, 1500):
            host = entry_host(known(FIRST))
            (tag,) = opened(host, [1])[FIRST]
            later = known(SECOND, born_ms=born_ms)
            host.update(later, base=1, position=2, tag_uses=SALTED)
            self.assertEqual((FIRST, tag), deliver(host, 1, tag))

    def test_a_salted_tag_that_another_target_has_too_is_not_used(self):
        def tags_of(name):
            return {FIRST: [1, 2, 3], SECOND: [1, 4, 5]}[name]

        self.patch(
            target_tags,
            "salted_tags_of",
            lambda name: [
                target_tags.MIN_SALTED + tag for tag in tags_of(name)
            ],
        )
        for targets in itertools.permutations([known(FIRST), known(SECOND)]):
            host = entry_host(*targets, tag_uses=SHARED)
            tags = opened(host, range(40))
            self.assertEqual({target_tags.MIN_SALTED + 2}, tags[FIRST])
            self.assertEqual({target_tags.MIN_SALTED + 4}, tags[SECOND])


class SharedTagTest(testtools.TestCase):
    """Fault: both targets got the plain tag, at hosts that were cut off."""

    def setUp(self):
        super().setUp()
        self.plain = target_tags.tag_of(FIRST)

    def test_a_flow_stays_and_leaves_the_shared_tag(self):
        for name, other in itertools.permutations((FIRST, SECOND)):
            host = entry_host(known(name))
            self.assertEqual({name: {self.plain}}, opened(host, [1]))
            deliver(host, 1, self.plain)
            host.update(
                known(FIRST), known(SECOND), position=2, tag_uses=SHARED
            )
            salted = target_tags.salted_tags_of(name)[0]
            self.assertEqual((name, salted), deliver(host, 1, self.plain))
            for late in ([known(name)], [known(other), known(name)]):
                host = entry_host(*late, tag_uses=SHARED, name="late")
                self.assertEqual((name, salted), deliver(host, 1, salted))

    def test_new_flows_go_to_both_and_not_under_the_shared_tag(self):
        host = entry_host(known(FIRST), known(SECOND))
        tags = opened(host, range(40))
        for name in (FIRST, SECOND):
            salted = target_tags.salted_tags_of(name)[0]
            self.assertEqual({salted}, tags[name])

    # The target that doesn't hold the flow would reset it, although its own
    # target may still serve it through a host that knows more.
    def test_a_flow_of_unknown_owner_goes_nowhere(self):
        both = [known(FIRST), known(SECOND)]
        for targets, tag_uses in (
            (both, None),
            (both, SHARED),
            (both[:1], SHARED),
        ):
            host = entry_host(*targets, tag_uses=tag_uses)
            self.assertIsNone(deliver(host, 1, self.plain))
            self.assertEqual([], host.resets)
            dropped = host.node.context.counters["dropped-shared-cookie"]
            self.assertEqual(1, dropped)

    def test_once_the_other_target_is_gone_the_tag_is_that_of_the_live_one(
        self,
    ):
        gone = msgspec.structs.replace(
            known(FIRST).target, phase=target_announcement.Phase.GONE
        )
        host = entry_host(target_announcement.KnownTarget(gone), known(SECOND))
        sent = deliver(host, 1, self.plain)
        self.assertEqual(SECOND, sent[0])

    def test_a_target_keeps_its_salted_tag_when_the_other_one_is_forgotten(
        self,
    ):
        host = entry_host(known(FIRST), known(SECOND), tag_uses=SHARED)
        gone = msgspec.structs.replace(
            known(FIRST).target,
            phase=target_announcement.Phase.GONE,
            sequence=9,
        )
        host.update(target_announcement.KnownTarget(gone), base=1, position=2)
        host.tick(target_table.GONE_RETENTION_S + 1.0)
        self.assertNotIn(FIRST, host.targets.by_name)
        salted = target_tags.salted_tags_of(SECOND)[0]
        self.assertEqual((SECOND, salted), deliver(host, 1, salted))
        self.assertEqual({SECOND: {salted}}, opened(host, [2]))


class Deployment:
    """Two control hosts and entry hosts behind them, with random events.

    Attributes:
        registries: Registry of each control host.
        entries: Entry hosts by the control host that they follow.
        is_cut: Whether the two sides are cut off from each other.
        flows: Target, tag and side of each open flow, by its number.
        now_s: Time in seconds.
        used: Names of the targets that got flows.
        dropped: Number of packets of open flows that went nowhere.
        actions: What may happen next.
    """

    def __init__(self, generator, *, has_cuts=True):
        """Starts the hosts without any target."""
        self.random = generator
        self.registries = [
            target_registry.TargetRegistry(INTERVAL_S) for _ in range(2)
        ]
        for registry in self.registries:
            registry.set_services(0.0, ["web"])
        self.entries = [[self.start()] for _ in range(2)]
        self.is_cut = False
        self.flows = {}
        self.now_s = 1.0
        self.used = set()
        self.dropped = 0
        self.actions = [self.announce, self.restart, self.open]
        self.actions += [self.send] * 3
        if has_cuts:
            self.actions.append(self.cut)

    def start(self):
        host = cookie_host.CookieHost(seed=self.random.getrandbits(16))
        host.update(document=cookie_host.document(1))
        return host

    def run(self, steps):
        """Runs random events; sides synchronize after each unless cut off."""
        for _ in range(steps):
            self.now_s += 0.1
            self.random.choice(self.actions)()
            self.synchronize()

    def announce(self):
        name = self.random.choice([FIRST, SECOND, OTHER])
        registry = self.random.choice(self.registries)
        held = registry.records.get(name)
        sequence = 1 if held is None else held.target.sequence + 1
        target = msgspec.structs.replace(
            known(name, born_ms=1000 + len(name)).target, sequence=sequence
        )
        registry.announce(self.now_s, target)

    def cut(self):
        self.is_cut = not self.is_cut

    def restart(self):
        """Starts another entry host in the place of one or beside it."""
        side = self.random.randrange(2)
        if self.random.random() < 0.5:
            self.entries[side].clear()
        self.entries[side].append(self.start())

    def synchronize(self):
        if not self.is_cut:
            for one, other in itertools.permutations(self.registries):
                for item in other.changes_since(self.now_s, 0):
                    one.put(
                        self.now_s,
                        item.target,
                        tag_use=other.tag_uses([item.target]).get(
                            item.target.name, target_announcement.TagUse.PLAIN
                        ),
                    )
        for side, registry in enumerate(self.registries):
            targets = registry.changes_since(self.now_s, 0)
            for host in self.entries[side]:
                host.update(
                    *targets,
                    position=registry.position,
                    tag_uses=registry.tag_uses(item.target for item in targets),
                )

    def open(self):
        side = self.random.randrange(2)
        host = self.random.choice(self.entries[side])
        number = len(self.flows)
        sent = deliver(host, number, 0, is_opening=True)
        if sent is not None:
            self.flows[number] = [*sent, side]
            self.used.add(sent[0])

    def send(self):
        """Sends a packet of a flow through a host that its caller reaches."""
        if not self.flows:
            return
        number = self.random.choice(sorted(self.flows))
        name, tag, side = self.flows[number]
        if not self.is_cut and self.random.random() < 0.5:
            side = 1 - side
        host = self.random.choice(self.entries[side])
        sent = deliver(host, number, tag)
        if sent is None:
            self.dropped += 1
            return
        if sent[0] != name:
            raise AssertionError(f"flow {number} of {name} went to {sent[0]}")
        self.flows[number][1] = sent[1]


class RandomOrdersTest(testtools.TestCase):
    """Faults: cuts, restarts and announcements in any order."""

    def test_no_packet_goes_to_another_target(self):
        used = set()
        for seed in range(150):
            deployment = Deployment(random.Random(seed))
            try:
                deployment.run(60)
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error
            used |= deployment.used
        self.assertEqual({FIRST, SECOND, OTHER}, used)

    def test_without_a_cut_each_packet_reaches_its_target(self):
        for seed in range(50):
            deployment = Deployment(random.Random(seed), has_cuts=False)
            deployment.run(60)
            self.assertEqual(0, deployment.dropped, seed)


class StartTagTest(testtools.TestCase):
    """Two starts with one tag share a weight, and both get flows."""

    def test_two_starts_with_one_tag_both_get_flows(self):
        self.assertEqual(
            target_tags.start_tag_of(known(FIRST).target),
            target_tags.start_tag_of(known(SECOND).target),
        )
        host = entry_host(known(FIRST), known(SECOND))
        weights = {target_tags.start_tag_of(known(FIRST).target): 50}
        host.handle(
            cookie_host.events.MessageArrived(
                host.now_s,
                cookie_host.control("c1"),
                sync.LoadSummary(weights),
            )
        )
        self.assertEqual({FIRST, SECOND}, set(opened(host, range(40))))

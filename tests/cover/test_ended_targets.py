"""Open flows whose target or route has ended, or seems to have ended."""

import testtools

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import routes as routes_lib
from tests import cookie_host


class RemovedRouteTest(testtools.TestCase):
    """Packets of open flows whose route a host does not hold."""

    def start(self, number=1, **changes):
        """Returns a host with a target and a document."""
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            document=cookie_host.document(number, **changes),
        )
        return host

    def apply(self, host, document):
        """Lets some time pass and delivers a document."""
        host.tick(0.1)
        host.update(base=1, position=1, document=document)
        host.tick(0.1)

    def remove_route(self, host, number):
        """Delivers a document that removes the route."""
        removal = cookie_host.document(number, service="", base=number - 1)
        self.apply(host, removal)

    def test_a_flow_on_a_route_that_is_not_yet_here_is_not_reset(self):
        # Another host holds a newer document and opened the flow.
        host = self.start(port=8443)
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("t-1", host.send(1, "t-1", payload_bytes=10))

    def test_a_flow_on_a_route_that_was_added_again_is_not_reset(self):
        # This host has not received the document that adds it again.
        host = self.start()
        self.remove_route(host, 2)
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("t-1", host.send(1, "t-1", payload_bytes=10))

    def test_a_flow_from_before_the_removal_of_its_route_is_reset(self):
        host = self.start()
        self.assertEqual("t-1", host.open(1))
        self.assertEqual("t-1", host.send(2, "t-1"))
        self.remove_route(host, 2)
        for number in (1, 2):
            self.assertEqual("reset", host.send(number, "t-1"))

    def test_a_whole_document_without_a_route_removes_it(self):
        host = self.start()
        self.assertEqual("t-1", host.open(1))
        self.apply(host, cookie_host.document(9, port=8443))
        self.assertEqual("reset", host.send(1, "t-1"))

    def test_a_host_that_started_after_a_removal_resets_no_flow(self):
        host = self.start(number=2, port=8443)
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("reset", host.open(2))

    def test_a_flow_goes_on_when_its_route_is_added_again(self):
        host = self.start()
        self.assertEqual("t-1", host.open(1))
        self.remove_route(host, 2)
        self.apply(host, cookie_host.document(3, base=2))
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("t-1", host.open(2))
        self.remove_route(host, 4)
        self.assertEqual("reset", host.send(2, "t-1"))

    def test_nothing_grows_with_each_removed_route(self):
        table = routes_lib.RouteTable()
        count = routes_lib.MAX_REMOVED + 10
        for number in range(1, count):
            added = cookie_host.document(number, base=number - 1, port=number)
            table.put(float(number), added)
        table.put(float(count), cookie_host.document(count, port=count))
        self.assertEqual(routes_lib.MAX_REMOVED, len(table.removed_s))


class RestartedTargetTest(testtools.TestCase):
    """A target that is gone starts again under its name."""

    def start(self):
        """Returns a host that knows that a target has ended."""
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        host.send(1, "t-1", acknowledged=500)
        host.tick(0.1)
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        host.tick(1.0)
        self.assertEqual(1, len(host.resets))
        return host

    def test_a_flow_of_a_start_that_is_not_yet_known_is_not_reset(self):
        # Another host knows the new start and opened the flow.
        host = self.start()
        self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
        host.tick(1.0)
        self.assertEqual("t-1", host.send(2, "t-1", acknowledged=500))
        started = cookie_host.target("t-1", born_ms=2000)
        host.update(started, base=2, position=3)
        host.tick(1.0)
        self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
        self.assertEqual(1, len(host.resets))

    def test_a_flow_that_moved_here_after_the_end_is_reset_when_it_stalls(self):
        host = self.start()
        host.update(base=2, position=2)
        self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
        host.tick(0.2)
        self.assertEqual("reset", host.send(2, "t-1", payload_bytes=10))

    def test_a_host_that_is_cut_off_resets_no_flow_that_moved_to_it(self):
        # It would not learn of a new start of the target.
        host = self.start()
        host.tick(5.0)
        for _ in range(3):
            self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
            host.tick(0.2)

    def test_a_caller_that_closes_a_flow_of_an_ended_target_gets_a_reset(self):
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        host.send(1, "t-1", acknowledged=500)
        host.tick(1.0)
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        host.now_s += 0.4
        sent = host.send(1, "t-1", acknowledged=500, is_last=True)
        self.assertEqual("reset", sent)


class SilentTargetTest(testtools.TestCase):
    """Targets whose announcements reach no control host for minutes."""

    def start(self):
        """Returns a host with a target that has just become overdue."""
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        overdue = target_announcement.KnownTarget(
            cookie_host.target("t-1"), is_overdue=True
        )
        host.update(overdue, base=1, position=2)
        return host

    def wait(self, host, is_confirmed=True):
        """Lets minutes pass in which the publisher sends no change."""
        for _ in range(200):
            host.update(base=2, position=2, is_confirmed=is_confirmed)
            host.tick(1.0)

    def test_nothing_is_kept_of_a_target_without_flows(self):
        host = self.start()
        self.wait(host)
        self.assertEqual({}, host.targets.by_name)
        self.assertEqual({}, host.targets.by_tag)
        self.assertEqual({}, host.targets.by_service["web"])

    def test_a_target_with_an_open_flow_is_kept(self):
        host = self.start()
        for second in range(200):
            host.update(base=2, position=2)
            sent = host.send(7, "t-1", acknowledged=second)
            self.assertEqual("t-1", sent)
            host.tick(1.0)
        self.assertEqual([], host.resets)

    def test_a_host_whose_publisher_is_cut_off_keeps_its_targets(self):
        host = self.start()
        self.wait(host, is_confirmed=False)
        self.assertEqual("t-1", host.send(7, "t-1"))

    def test_a_host_that_reaches_no_control_host_keeps_its_targets(self):
        host = self.start()
        host.tick(200.0)
        self.assertEqual("t-1", host.send(7, "t-1"))

    def test_a_target_that_just_became_missing_is_kept(self):
        # Its last change may be long ago, as renewals are not sent.
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        for _ in range(200):
            host.update(base=1, position=1)
            host.tick(1.0)
        host.update(run="other")
        host.tick(1.0)
        self.assertEqual("t-1", host.send(7, "t-1"))

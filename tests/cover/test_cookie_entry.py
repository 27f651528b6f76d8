"""An entry host that forwards by the cookies of flows."""

import testtools

from tamarack_core import announced
from tests import cookie_host


class FollowingTest(testtools.TestCase):
    """What an entry host believes of targets and routes."""

    def test_a_target_that_one_control_host_does_not_know_keeps_its_flows(self):
        # A control host that wakes from a freeze lacks what began meanwhile.
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            document=cookie_host.document(1),
        )
        woken = cookie_host.control("c2")
        host.tick(3.0)
        host.update(cookie_host.target("t-1"), sender=woken, run="other")
        self.assertEqual("t-2", host.carry(7, "t-2", payload_bytes=10))
        self.assertEqual({"t-1"}, {host.open(n) for n in range(20, 30)})
        host.update(
            announced.Known(cookie_host.target("t-2", port=81)),
            sender=woken,
            run="other",
            base=1,
            position=2,
        )
        self.assertEqual(
            {"t-1", "t-2"}, {host.open(n) for n in range(30, 40)}
        )

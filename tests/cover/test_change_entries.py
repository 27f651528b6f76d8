"""Log lines of hosts that learn of many targets at once.

On agtag-visitas-large trouble-1, 237 entry hosts before 235 targets wrote
201,500 of 276,000 lines about targets that they learned at their starts.
"""

import testtools

from tamarack_core.internal import change_entries
from tests import cookie_host


class ChangeEntriesTest(testtools.TestCase):
    """Load: a start before hundreds of targets, and changes of a few."""

    def start(self, count):
        """Returns a host that has just learned of some targets."""
        host = cookie_host.CookieHost()
        host.update(
            *(
                cookie_host.target(f"t-{number}", port=100 + number)
                for number in range(count)
            ),
            document=cookie_host.document(1),
        )
        return host

    def entries(self, host):
        """Returns the entries about targets."""
        return [
            record.entry
            for record in host.records
            if record.entry.name in ("target-changed", "targets-changed")
        ]

    def test_a_start_before_many_targets_makes_one_entry(self):
        (entry,) = self.entries(self.start(235))
        self.assertEqual("targets-changed", entry.name)
        self.assertEqual("235 ready", entry.detail)

    def test_a_few_changes_are_described_one_by_one(self):
        count = change_entries.MAX_ENTRIES
        entries = self.entries(self.start(count))
        self.assertEqual(count, len(entries))
        self.assertEqual({"target-changed"}, {e.name for e in entries})

"""Names of the platform occur only in its adapter and the deploy file."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).parents[2]

# Names that only the platform uses. Names that the core uses too, such as
# `service`, are not listed.
WORDS = re.compile(
    r"datagram-addr|heartbeat-addr|path-prefix|traffic-split|warmup-left-ms"
    r"|TAMARACKFORD_BOOT|internal-ports|fault-tolerance|deregister|warmup-per-s"
    r"|warmup-overrun|warmup-slack"
    r"|X-Attempt-Id|X-Not-Executed|machine-class|listen-addrs"
)


class PlatformWordsTest(testtools.TestCase):
    """Separation of the platform adapter from the packages."""

    def test_no_package_but_the_adapter_uses_a_name_of_the_platform(self):
        uses = [
            f"{path.relative_to(ROOT)}:{number}"
            for path in sorted(ROOT.glob("packages/*/src/**/*.py"))
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WORDS.search(line)
        ]
        self.assertEqual([], uses)

    def test_the_folder_of_the_adapter_hides_no_standard_module(self):
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

"""Evacuation orders of an operator, and their delayed duplicates."""

import asyncio
import random

from tests.soak import orders
from tests.soak import plan

SHORT_S = (0.5, 3.0)
"""Range of the time for which a domain is evacuated briefly, in seconds; a
duplicate of the order may arrive after its end."""

LONG_S = (7.0, 11.0)
"""Range of the time for which a domain is evacuated otherwise, in seconds; no
new flow may reach it after the first 5 s."""

PAUSE_S = (0.5, 2.0)
"""Shortest and longest time between two evacuations, in seconds."""

DUPLICATES = 0.5
"""Share of the evacuations of which a duplicate arrives after their end."""

DUPLICATE_S = 3.0
"""Delay of a duplicate after which it is certain to arrive within the time for
which operators repeat an order, in seconds."""


class Evacuator:
    """Evacuates one failure domain after another.

    Attributes:
        addresses: Addresses of the control hosts.
        promises: Outcomes and violations.
    """

    def __init__(self, hosts, promises, seed):
        """Initializes an operator that has sent no order."""
        self.addresses = [host.address for host in hosts.controls()]
        self.promises = promises
        self.random = random.Random(seed + 1)

    async def run(self, until_s):
        """Evacuates domains, each until its end is acknowledged."""
        while self.promises.now_s < until_s:
            domain = self.random.choice(plan.DOMAINS)
            sent_s = await self._order(domain, "start")
            self.promises.evacuated_s[domain] = self.promises.now_s
            hold_s = self.random.choice((SHORT_S, LONG_S, LONG_S))
            await asyncio.sleep(self.random.uniform(*hold_s))
            # Any copy of the order to end may take effect from now on.
            del self.promises.evacuated_s[domain]
            await self._order(domain, "end")
            if self.random.random() < DUPLICATES:
                await self._send_duplicate(domain, sent_s)
            await asyncio.sleep(self.random.uniform(*PAUSE_S))

    async def _order(self, domain, action):
        """Sends an order to any control host until it is acknowledged.

        Returns:
            The time at which the acknowledged copy was sent, in seconds.
        """
        began_s = self.promises.now_s
        path = f"/evacuation/{domain}/{action}"
        while True:
            address = self.random.choice(self.addresses)
            if self.random.random() < orders.LOST_RESPONSES:
                await orders.send_and_reset(address, path, None)
                continue
            sent_s = self.promises.now_s
            response = await orders.call_with_redirects(
                address, "POST", path, None
            )
            status = 0 if response is None else response[0]
            if status == 200:
                self.promises.record_order(f"{action} {domain}", began_s)
                return sent_s
            if 400 <= status < 500:
                self.promises.record_violation(
                    f"{action} {domain}: status {status}"
                )
            await asyncio.sleep(orders.PAUSE_S)

    async def _send_duplicate(self, domain, sent_s):
        """Sends a duplicate of a reversed order, which must be refused."""
        if self.promises.now_s - sent_s > DUPLICATE_S:
            return
        response = await orders.call_with_redirects(
            self.random.choice(self.addresses),
            "POST",
            f"/evacuation/{domain}/start",
            None,
        )
        self.promises.counts["duplicates"] += 1
        if response is not None and response[0] == 200:
            self.promises.record_violation(
                f"a duplicate of start {domain} is obeyed after end"
            )

"""Load of callers that return to all entry hosts after a loss of power.

The figures are those of the deployment dnrt-imprumut. Callers send an opening
again after 0.2 and 0.6 s, give it up after 1.4 s and open at most three flows
for a request. Targets run three requests at once, queue twelve, and reject
more; callers then open their next flow at once.
"""

import heapq
import itertools
import random

from tests import cookie_host

HOSTS = 12
TARGETS = tuple(f"t-{number}" for number in range(7))
SLOTS, QUEUE = 3, 12
WORK_S = 0.058
REQUESTS_PER_S = 225
AIM_S, DEADLINE_S = 0.3, 2.5
COPIES_S = (0.2, 0.6)
GIVE_UP_S = 1.4
FLOWS = 3
LATENCY_S = 0.004
TICK_S = 0.25


class Request:
    """A request of a caller.

    Attributes:
        asked_s: Time at which the caller wants it, in seconds.
        flows: Flows opened for it so far.
        answered_s: Time of its answer, in seconds; None before.
        has_failed: Whether the caller has given up.
    """

    def __init__(self, asked_s):
        self.asked_s = asked_s
        self.flows = 0
        self.answered_s = None
        self.has_failed = False

    @property
    def is_in_time(self):
        """Whether it was answered within the aim."""
        return (
            self.answered_s is not None
            and self.answered_s - self.asked_s <= AIM_S
        )


class Target:
    """A target with slots and a queue."""

    def __init__(self):
        self.running = 0
        self.queue = []


class ReturnWave:
    """Simulated callers and targets around entry hosts of the core.

    Attributes:
        now_s: Time in seconds.
        requests: All requests.
    """

    def __init__(self, seed, entry_hosts, down_s=2.0):
        """Creates the hosts, which all return at once after an outage.

        Args:
            seed: Seed of all random choices.
            entry_hosts: Number of entry hosts that a control host reports.
            down_s: Length of the outage, in seconds.
        """
        self.random = random.Random(seed)
        self.start_s, self.up_s = 100.0, 100.0 + down_s
        self.now_s = self.start_s
        self.requests = []
        self.targets = {name: Target() for name in TARGETS}
        self.numbers = itertools.count(1)
        self.events = []
        self.order = itertools.count()
        self.hosts = []
        for number in range(HOSTS):
            host = cookie_host.CookieHost(seed=seed * HOSTS + number)
            host.now_s = self.up_s
            host.update(
                *(
                    cookie_host.target(name, port=80 + port, slots=SLOTS)
                    for port, name in enumerate(TARGETS)
                ),
                document=cookie_host.document(1),
                entry_hosts=entry_hosts,
            )
            self.hosts.append(host)

    def at(self, time_s, action, *arguments):
        """Schedules an action."""
        entry = (time_s, next(self.order), action, arguments)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        """Runs the load for a time after the start of the outage."""
        self.at(self.start_s, self.ask)
        self.at(self.up_s, self.tick)
        end_s = self.start_s + seconds
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def ask(self):
        """Starts a request, and schedules the next one."""
        request = Request(self.now_s)
        self.requests.append(request)
        self.open_flow(request)
        wait_s = self.random.expovariate(REQUESTS_PER_S)
        self.at(self.now_s + wait_s, self.ask)

    def tick(self):
        """Fires the timers of the hosts."""
        for host in self.hosts:
            host.now_s = self.now_s - 0.1
            host.tick(0.1)
        self.at(self.now_s + TICK_S, self.tick)

    def open_flow(self, request):
        """Opens the next flow of a request, if it has one left."""
        if request.flows == FLOWS or (
            self.now_s > request.asked_s + DEADLINE_S
        ):
            request.has_failed = True
            return
        request.flows += 1
        number = next(self.numbers)
        host = self.random.choice(self.hosts)
        flow = (request, host, number)
        self.at(self.now_s, self.send_opening, flow, 0)

    def send_opening(self, flow, copy_number):
        """Sends a copy of an opening, and schedules what follows."""
        request, host, number = flow
        reply = ""
        if self.now_s >= self.up_s:
            host.now_s = self.now_s
            reply = host.open(number, copy_number)
        if reply == "reset":
            self.open_flow(request)
        elif reply:
            self.accept(flow, reply)
        elif copy_number < len(COPIES_S):
            first_s = self.now_s - (0.0, *COPIES_S)[copy_number]
            again_s = first_s + COPIES_S[copy_number]
            self.at(again_s, self.send_opening, flow, copy_number + 1)
        else:
            wait_s = GIVE_UP_S - COPIES_S[-1]
            self.at(self.now_s + wait_s, self.open_flow, request)

    def accept(self, flow, name):
        """Sends the request to its target, which runs, queues or rejects it."""
        _, host, number = flow
        host.send(number, name, acknowledged=1)
        host.send(number, name, acknowledged=1, payload_bytes=10)
        target = self.targets[name]
        if target.running < SLOTS:
            self.start_work(flow, name)
        elif len(target.queue) < QUEUE:
            target.queue.append(flow)
        else:
            self.end_flow(flow, name)
            self.open_flow(flow[0])

    def start_work(self, flow, name):
        """Starts to run a request."""
        self.targets[name].running += 1
        work_s = self.random.uniform(0.5, 1.5) * WORK_S
        self.at(self.now_s + work_s, self.end_work, flow, name)

    def end_work(self, flow, name):
        """Answers a request, and starts the next one of the queue."""
        target = self.targets[name]
        target.running -= 1
        self.end_flow(flow, name)
        flow[0].answered_s = self.now_s + LATENCY_S
        while target.queue and target.running < SLOTS:
            waiting = target.queue.pop(0)
            if self.now_s < waiting[0].asked_s + DEADLINE_S:
                self.start_work(waiting, name)
            else:
                waiting[0].has_failed = True
                self.end_flow(waiting, name)

    def end_flow(self, flow, name):
        """Acknowledges the reply and closes the flow."""
        _, host, number = flow
        host.now_s = self.now_s
        host.send(number, name, acknowledged=900, sequence=11, is_last=True)

    def in_time(self, from_s, to_s):
        """Returns the share of requests answered within the aim.

        Args:
            from_s: Start of the time in which they were asked, in seconds
                after the return of the hosts.
            to_s: End of that time.
        """
        asked = [
            request
            for request in self.requests
            if from_s <= request.asked_s - self.up_s < to_s
        ]
        return sum(request.is_in_time for request in asked) / len(asked)

    @property
    def failed(self):
        """Number of requests that their callers gave up."""
        return sum(request.has_failed for request in self.requests)

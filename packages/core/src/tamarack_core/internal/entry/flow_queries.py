"""Questions to all hosts about a flow that neither owner nor backup knows."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.entry import transit_packet as passage_lib
from tamarack_core.internal.membership import host_membership
from tamarack_core.messages import flows

# Bounds the traffic of a host after many flows are lost at once.
QUESTIONS_PER_S = 10.0
MAX_ASKED_HOSTS = 16
REPEAT_S = 1.0
FORGET_S = 60.0


class PendingQuery:
    """A flow that this host asks about.

    Attributes:
        waiting: Hosts that have not answered.
        asked_s: Monotonic time of the last question.
    """

    __slots__ = ("asked_s", "waiting")

    def __init__(self, waiting: dict[str, peers.Peer], asked_s: float) -> None:
        """Creates a question."""
        self.waiting = waiting
        self.asked_s = asked_s


class FlowQueries:
    """Asks the other hosts, within a budget, and remembers the answers.

    The packet that raised a question is dropped; its sender repeats it.

    Attributes:
        context: Identity, chance, time and counters.
        membership: Membership of this host.
        questions: Open questions and those that all hosts answered with no,
            by flow key.
    """

    __slots__ = ("_tokens", "_tokens_s", "context", "membership", "questions")

    def __init__(
        self,
        context: context_lib.Context,
        membership_of_host: host_membership.HostMembership,
    ) -> None:
        """Creates the questions of a host.

        Args:
            context: Identity, chance, time and counters.
            membership_of_host: Membership of this host.
        """
        self.context = context
        self.membership = membership_of_host
        self.questions: dict[bytes, PendingQuery] = {}
        self._tokens = QUESTIONS_PER_S
        self._tokens_s = 0.0

    def is_exhausted(self, passage: passage_lib.TransitPacket) -> bool:
        """Returns whether every reachable host has said that it knows not.

        A host that left the domain since it was asked need not answer.

        Args:
            passage: A packet of the flow.
        """
        question = self.questions.get(passage.key)
        if question is None:
            return not self.membership.other_members()
        present = {peer.host for peer in self.membership.other_members()}
        return present.isdisjoint(question.waiting)

    def ask(self, passage: passage_lib.TransitPacket) -> list[effects.Effect]:
        """Asks the hosts that have not answered yet.

        Args:
            passage: A packet of the flow; it is dropped.
        """
        now_s = passage.now_s
        self.context.counters["dropped-asking"] += 1
        question = self.questions.get(passage.key)
        if question is not None and now_s - question.asked_s < REPEAT_S:
            return []
        if not self._take_token(now_s):
            return []
        if question is None:
            question = PendingQuery(self._hosts(), now_s)
            self.questions[passage.key] = question
        question.asked_s = now_s
        query = flows.FlowQuery(passage.key)
        return [
            effects.SendMessage(peer, query)
            for peer in question.waiting.values()
        ]

    def take_answer(
        self, sender: peers.Peer, answer: flows.FlowResponse
    ) -> bool:
        """Notes an answer; returns whether it was awaited.

        Args:
            sender: The host that answered.
            answer: The answer.
        """
        question = self.questions.get(answer.key)
        if question is None:
            return False
        if answer.target:
            del self.questions[answer.key]
            return True
        question.waiting.pop(sender.host, None)
        return False

    def expire(self, now_s: float) -> None:
        """Forgets old questions.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.questions = {
            key: question
            for key, question in self.questions.items()
            if now_s - question.asked_s < FORGET_S
        }

    def _hosts(self) -> dict[str, peers.Peer]:
        """Returns the hosts to ask, all of them in a small domain."""
        others = self.membership.other_members()
        if len(others) > MAX_ASKED_HOSTS:
            others = tuple(self.context.random.sample(others, MAX_ASKED_HOSTS))
        return {peer.host: peer for peer in others}

    def _take_token(self, now_s: float) -> bool:
        """Returns whether the budget allows one more question."""
        gained = (now_s - self._tokens_s) * QUESTIONS_PER_S
        self._tokens = min(self._tokens + gained, QUESTIONS_PER_S)
        self._tokens_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

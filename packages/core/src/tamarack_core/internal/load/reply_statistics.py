"""Reply times of targets relative to the usual one of their route.

Load pattern: about 80 entry hosts pass ten requests a second each to 30 to 120
targets that differ in speed. The work differs between routes and from request
to request, and a few requests take seven times as long as the others. So reply
times are compared within a route, by their logarithms, and clipped.
"""

import math

import msgspec

Route = tuple[int, int]
"""Numeric service address and port."""

USUAL_WEIGHT = 1 / 16
"""Smallest weight of the newest reply in the usual reply time of a route."""

CLIP_LOG = math.log(4.0)
"""Largest magnitude of the logarithm of a ratio that is counted. Without the
limit, the 3 % of requests that take seven times as long would outweigh the
differences between targets."""

MIN_RATIO = 0.2
"""Ratio to the usual reply time below which a reply is no evidence of speed. A
target that rejects requests replies at once."""

MIN_REPLY_S = 0.0001
"""Shortest reply time that is counted, in seconds; below it a clock stepped."""

MAX_ROUTES = 4_000
"""Number of routes whose usual reply times are kept."""


class UsualReply(msgspec.Struct):
    """Usual reply time of a route at this host.

    Attributes:
        log_s: Mean logarithm of the reply time in seconds.
        replies: Number of replies.
    """

    log_s: float = 0.0
    replies: int = 0

    def observe(self, log_s: float) -> float:
        """Records a reply; returns the logarithm of its ratio to the usual.

        Args:
            log_s: Logarithm of its time in seconds.
        """
        self.replies += 1
        if self.replies == 1:
            self.log_s = log_s
        ratio = log_s - self.log_s
        clipped = min(max(ratio, -CLIP_LOG), CLIP_LOG)
        self.log_s += max(USUAL_WEIGHT, 1 / self.replies) * clipped
        return ratio


class Sums(msgspec.Struct):
    """Replies of one target.

    Attributes:
        count: Number of replies.
        log_ratio: Sum of the logarithms of their ratios to the usual time.
    """

    count: int = 0
    log_ratio: float = 0.0


class ReplyStatistics:
    """Reply times of targets at one entry host since its last report.

    Attributes:
        usual: Usual reply times by route.
        sums: Replies by tag of the start of the target.
        resumed_s: Time of the end of the last suspension of this host, in
            seconds; times of requests before it include the suspension.
    """

    __slots__ = ("resumed_s", "sums", "usual")

    def __init__(self) -> None:
        """Initializes statistics without replies."""
        self.usual: dict[Route, UsualReply] = {}
        self.sums: dict[int, Sums] = {}
        self.resumed_s = float("-inf")

    def observe(
        self, now_s: float, route: Route, start_tag: int, since_s: float
    ) -> None:
        """Records a reply.

        Args:
            now_s: Monotonic time in seconds.
            route: Service address and port of the request.
            start_tag: Tag of the start of the target.
            since_s: Time of the request, in seconds.
        """
        reply_s = now_s - since_s
        if reply_s < MIN_REPLY_S or since_s < self.resumed_s:
            return
        usual = self.usual.get(route)
        if usual is None:
            if len(self.usual) >= MAX_ROUTES:
                del self.usual[next(iter(self.usual))]
            usual = self.usual[route] = UsualReply()
        ratio = usual.observe(math.log(reply_s))
        if usual.replies == 1 or ratio < math.log(MIN_RATIO):
            return
        sums = self.sums.get(start_tag)
        if sums is None:
            sums = self.sums[start_tag] = Sums()
        sums.count += 1
        sums.log_ratio += min(max(ratio, -CLIP_LOG), CLIP_LOG)

    def take(self) -> dict[int, Sums]:
        """Returns the replies since the last call."""
        taken, self.sums = self.sums, {}
        return taken

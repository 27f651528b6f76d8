"""Messages that lease quota of limits to the hosts of a failure domain."""

import msgspec


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Quota of one limit that a host holds, uses and wants.

    Attributes:
        limit: Key of the limit.
        held: Leased quota that the host holds now.
        used: Amount that open connections occupy.
        wanted: Amount that the host could use in addition.
    """

    limit: str
    held: float
    used: float
    wanted: float


class QuotaRequest(msgspec.Struct, frozen=True, tag="share-request"):
    """Request for quota; the sender promises to query no other coordinator.

    Attributes:
        number: Number that rises with each request of the sender, also across
            restarts.
        echo_s: Time in the last response of this coordinator, in seconds of
            its clock; negative if there was none. The promise lasts for at
            least `PROMISE_S` after it.
        claims: The claims.
    """

    number: int
    echo_s: float
    claims: tuple[Claim, ...]


class QuotaLease(msgspec.Struct, frozen=True, array_like=True):
    """Leased quota of one limit.

    Attributes:
        limit: Key of the limit.
        amount: Connections, or connections per second.
    """

    limit: str
    amount: float


class QuotaResponse(msgspec.Struct, frozen=True, tag="share-response"):
    """Response of the coordinator to a `QuotaRequest`.

    Attributes:
        number: Number of the request.
        time_s: Monotonic time of the coordinator in seconds.
        is_keeper: Whether the sender may grant quota at present; if not, the
            leases of the receiver stay as they are until they end.
        shares: Leases in place of all that the receiver holds for the same
            limits.
    """

    number: int
    time_s: float
    is_keeper: bool
    shares: tuple[QuotaLease, ...]


Message = QuotaRequest | QuotaResponse

"""Messages that lease shares of limits to the hosts of a failure domain."""

import msgspec


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What a host uses and wants of one limit.

    Attributes:
        limit: Key of the limit.
        held: Share that the host holds now.
        used: Part of it that open connections occupy.
        wanted: What it could use on top of that.
    """

    limit: str
    held: float
    used: float
    wanted: float


class QuotaRequest(msgspec.Struct, frozen=True, tag="share-request"):
    """The sender asks its keeper for shares, and promises to ask no other.

    Attributes:
        number: Number that rises with each request of the sender's process.
        echo_s: Keeper's time in the last response of this keeper, in
            seconds; negative if there was none. The promise lasts for
            `PROMISE_S` after it at least.
        claims: The claims.
    """

    number: int
    echo_s: float
    claims: tuple[Claim, ...]


class QuotaLease(msgspec.Struct, frozen=True, array_like=True):
    """A leased share of one limit.

    Attributes:
        limit: Key of the limit.
        amount: Connections, or connections a second.
    """

    limit: str
    amount: float


class QuotaResponse(msgspec.Struct, frozen=True, tag="share-response"):
    """Answer of the keeper.

    Attributes:
        number: Number of the request.
        time_s: Keeper's monotonic time in seconds.
        is_keeper: Whether the sender may grant shares at present; if not,
            the receiver's shares stay as they are until their leases end.
        shares: Shares in place of all that the receiver holds.
    """

    number: int
    time_s: float
    is_keeper: bool
    shares: tuple[QuotaLease, ...]


Message = QuotaRequest | QuotaResponse

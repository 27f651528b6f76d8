"""Messages about flows between the entry hosts of a failure domain."""

import msgspec


class FlowCopies(msgspec.Struct, frozen=True, tag="flow-copies"):
    """Flows of one service port that the receiver is to store.

    Attributes:
        service: Packed service address, port and protocol, the end of each
            flow key.
        targets: Packed addresses of targets.
        entries: For each flow the packed caller address and port, the
            beginning of its key, and one byte with the index of its target.
        is_replicated: Whether the backups after the receiver hold the flows.
    """

    service: bytes
    targets: tuple[bytes, ...]
    entries: bytes
    is_replicated: bool = False


class FlowQuery(msgspec.Struct, frozen=True, tag="flow-query"):
    """Query for the target of a flow that the sender must serve.

    Attributes:
        key: Flow key.
    """

    key: bytes


class FlowResponse(msgspec.Struct, frozen=True, tag="flow-answer"):
    """Response to `FlowQuery`.

    Attributes:
        key: Flow key.
        target: Packed address of the target; empty if not known.
    """

    key: bytes
    target: bytes = b""


class StalledFlowQuery(msgspec.Struct, frozen=True, tag="silence-question"):
    """Query whether the receiver has seen a reply on a flow.

    Attributes:
        key: Flow key.
        target: Packed address of the target of the flow.
        age_s: Seconds for which the sender has seen no reply.
        sequence: Sequence number of the payload that the caller retransmits.
    """

    key: bytes
    target: bytes
    age_s: float
    sequence: int


class StalledFlowResponse(msgspec.Struct, frozen=True, tag="silence-answer"):
    """Response to `StalledFlowQuery`.

    Attributes:
        key: Flow key.
        has_reply: Whether the sender has seen a reply in that time.
        is_target_heard: Whether the sender has recently seen packets of the
            target on any flow.
    """

    key: bytes
    has_reply: bool
    is_target_heard: bool


Message = (
    FlowCopies
    | FlowQuery
    | FlowResponse
    | StalledFlowQuery
    | StalledFlowResponse
)

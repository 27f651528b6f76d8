"""Messages about flows between the entry hosts of a failure domain."""

import msgspec


class FlowCopies(msgspec.Struct, frozen=True, tag="flow-copies"):
    """The receiver is to hold these flows of one service port.

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
    """The sender asks for the target of a flow that it must carry.

    Attributes:
        key: Flow key.
    """

    key: bytes


class FlowResponse(msgspec.Struct, frozen=True, tag="flow-answer"):
    """Answer to `FlowQuery`.

    Attributes:
        key: Flow key.
        target: Packed address of the target; empty if not known.
    """

    key: bytes
    target: bytes = b""


class StalledFlowQuery(msgspec.Struct, frozen=True, tag="silence-question"):
    """The sender asks whether the receiver has seen a reply on a flow.

    Attributes:
        key: Flow key.
        target: Packed address of the target of the flow.
        age_s: Seconds for which the sender has seen none.
        sequence: Sequence number of the payload that the caller repeats.
    """

    key: bytes
    target: bytes
    age_s: float
    sequence: int


class StalledFlowResponse(msgspec.Struct, frozen=True, tag="silence-answer"):
    """Answer to `StalledFlowQuery`.

    Attributes:
        key: Flow key.
        has_reply: Whether the sender has seen a reply in that time.
        is_target_heard: Whether the sender has lately seen packets of the
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

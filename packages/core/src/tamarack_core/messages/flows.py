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


class FlowAnswer(msgspec.Struct, frozen=True, tag="flow-answer"):
    """Answer to `FlowQuery`.

    Attributes:
        key: Flow key.
        target: Packed address of the target; empty if not known.
    """

    key: bytes
    target: bytes = b""


Message = FlowCopies | FlowQuery | FlowAnswer

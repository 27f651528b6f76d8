"""Identity and addresses of a host of the system."""

import msgspec

MAX_PORT = 65535


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """IP address and port of a socket.

    Attributes:
        address: IPv4 or IPv6 address in text form.
        port: Port number, 1 to `MAX_PORT`.
    """

    address: str
    port: int


class Peer(msgspec.Struct, frozen=True):
    """A host of the system, with the endpoints at which others reach it.

    Attributes:
        host: Name that is unique in the system.
        domain: Failure domain of the host.
        control: Endpoint of HTTP over TCP and of messages over UDP.
        data: Endpoint of Geneve over UDP; None on a host without the entry
            role.
    """

    host: str
    domain: str
    control: Endpoint
    data: Endpoint | None = None

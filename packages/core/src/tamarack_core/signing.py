"""Signs messages between hosts with a shared key, and rejects replays.

A signed message is one line, `KEY BOOT COUNTER TIME SIGNATURE`, and the body.
The signature covers the line, the name of the receiver and the body. A host
draws a new BOOT at each start, so that its COUNTER may start from 0 again.
"""

import hashlib
import hmac
import random

import msgspec

from tamarack_core import failure

FORMAT = "tamarackford-1"
MIN_SECRET_BYTES = 16
SIGNATURE_BYTES = 16
BOOT_BITS = 64
# Maximum difference between the clocks of two hosts, message delay included.
MAX_SKEW_MS = 30_000
WINDOW_MESSAGES = 1_024
MAX_SENDERS = 20_000


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shared key.

    Attributes:
        id: Name of the key, without spaces.
        secret: The key in hexadecimal digits.
    """

    id: str
    secret: str


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the key file.

    Attributes:
        keys: The first one signs, all of them verify.
    """

    keys: tuple[Key, ...]


class Keyring:
    """Validated keys.

    Attributes:
        signing_id: Name of the key that signs.
        secrets: All keys by name.
    """

    __slots__ = ("secrets", "signing_id")

    def __init__(self, signing_id: str, secrets: dict[str, bytes]) -> None:
        """Initializes the keyring; use `parse_keys` for untrusted input."""
        self.signing_id = signing_id
        self.secrets = secrets


class ReplayWindow:
    """Counters of one sender that were received.

    Attributes:
        highest: The highest one.
        seen: Bit n is set if `highest - n` was received.
    """

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        """Initializes a window without counters."""
        self.highest = -1
        self.seen = 0

    def accept(self, counter: int) -> bool:
        """Returns whether a counter is new, and marks it as received."""
        if counter > self.highest:
            shift = min(counter - self.highest, WINDOW_MESSAGES)
            mask = (1 << WINDOW_MESSAGES) - 1
            self.seen = (self.seen << shift | 1) & mask
            self.highest = counter
            return True
        age = self.highest - counter
        if age >= WINDOW_MESSAGES or self.seen >> age & 1:
            return False
        self.seen |= 1 << age
        return True


class Signer:
    """Signs and verifies the messages of one host.

    Attributes:
        host: Name of this host.
        keyring: Keys; replaced to rotate them.
        boot: Identifier of this start of the host.
        counter: Messages signed so far.
        windows: Received counters by boot of the sender, in order of use.
    """

    __slots__ = ("boot", "counter", "host", "keyring", "windows")

    def __init__(
        self, host: str, keyring: Keyring, generator: random.Random
    ) -> None:
        """Initializes the signer.

        Args:
            host: Name of this host.
            keyring: Keys.
            generator: Source of the boot identifier, which must differ from
                start to start.
        """
        self.host = host
        self.keyring = keyring
        self.boot = f"{generator.getrandbits(BOOT_BITS):016x}"
        self.counter = 0
        self.windows: dict[str, ReplayWindow] = {}

    def sign(self, receiver: str, body: bytes, wall_ms: int) -> bytes:
        """Returns the signed form of a message.

        Args:
            receiver: Name of the receiving host.
            body: The message.
            wall_ms: Wall-clock time in milliseconds.
        """
        self.counter += 1
        key_id = self.keyring.signing_id
        line = f"{key_id} {self.boot} {self.counter} {wall_ms}"
        secret = self.keyring.secrets[key_id]
        signature = _signature(secret, line, receiver, body)
        return f"{line} {signature}\n".encode() + body

    def verify(self, data: bytes, wall_ms: int) -> bytes | failure.Failure:
        """Returns the body of a signed message, or why it is rejected.

        Args:
            data: The signed message.
            wall_ms: Wall-clock time in milliseconds.
        """
        head, newline, body = data.partition(b"\n")
        fields = head.decode("ascii", "replace").split(" ")
        if not newline or len(fields) != 5:
            return failure.Failure("message-unsigned")
        key_id, boot, counter, sent_ms, signature = fields
        secret = self.keyring.secrets.get(key_id)
        if secret is None:
            return failure.Failure("message-unknown-key")
        line = " ".join(fields[:-1])
        expected = _signature(secret, line, self.host, body)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return failure.Failure("message-bad-signature")
        if abs(int(sent_ms) - wall_ms) > MAX_SKEW_MS:
            return failure.Failure("message-late")
        if not self._window(boot).accept(int(counter)):
            return failure.Failure("message-replayed")
        return body

    def _window(self, boot: str) -> ReplayWindow:
        """Returns the window of a sender; evicts the least recently used."""
        window = self.windows.pop(boot, None) or ReplayWindow()
        self.windows[boot] = window
        if len(self.windows) > MAX_SENDERS:
            del self.windows[next(iter(self.windows))]
        return window


def parse_keys(data: bytes) -> Keyring | failure.Failure:
    """Returns the keys in a key file, or what is wrong with it."""
    try:
        keys = msgspec.json.decode(data, type=KeyFile).keys
        secrets = {key.id: bytes.fromhex(key.secret) for key in keys}
    except (msgspec.DecodeError, ValueError) as error:
        return failure.Failure("bad-keys", str(error))
    if not keys or len(secrets) < len(keys):
        return failure.Failure(
            "bad-keys", "give at least one key, each with its own id"
        )
    for key_id, secret in secrets.items():
        if not key_id or not key_id.isascii() or not key_id.isprintable():
            return failure.Failure(
                "bad-keys", f"key id {key_id!r}: use printable ASCII characters"
            )
        if " " in key_id or len(secret) < MIN_SECRET_BYTES:
            return failure.Failure(
                "bad-keys",
                f"key {key_id!r}: use no space in the id, and at least"
                f" {2 * MIN_SECRET_BYTES} hexadecimal digits",
            )
    return Keyring(keys[0].id, secrets)


def _signature(secret: bytes, line: str, receiver: str, body: bytes) -> str:
    """Returns the signature in hexadecimal digits."""
    covered = f"{FORMAT}\n{line}\n{receiver}\n".encode() + body
    digest = hmac.digest(secret, covered, hashlib.sha256)
    return digest[:SIGNATURE_BYTES].hex()

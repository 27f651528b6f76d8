"""Signer of messages that loads and reloads the key file."""

import logging
import pathlib
import random
import time

from tamarack_core import failure
from tamarack_core import signing
from tamarack_node.internal import logs

MS_PER_S = 1000


class MessageSigner:
    """Signs and verifies messages with the keys of a file.

    Attributes:
        path: The key file.
        signer: Signer with the keys loaded last.
    """

    __slots__ = ("path", "signer")

    def __init__(self, path: pathlib.Path, host: str) -> None:
        """Loads the key file.

        Args:
            path: The key file.
            host: Name of this host.

        Raises:
            ValueError: The file can't be read or holds no valid keys.
        """
        keyring = _load_keyring(path)
        if isinstance(keyring, failure.Failure):
            raise ValueError(f"{path}: {keyring.detail}")
        self.path = path
        # The boot identifier must not come from the seeded generator: if it
        # repeated, other hosts would reject the messages of this start as
        # replays.
        self.signer = signing.Signer(host, keyring, random.SystemRandom())

    def reload(self) -> None:
        """Loads the file again; keeps the current keys if it is invalid."""
        keyring = _load_keyring(self.path)
        if isinstance(keyring, failure.Failure):
            fields = {"reason": keyring.reason, "detail": keyring.detail}
            logs.event("keys-refused", logging.ERROR, fields)
            return
        self.signer.keyring = keyring
        logs.event("keys-loaded", logging.INFO, {"signing": keyring.signing_id})

    def sign(self, receiver: str, body: bytes) -> bytes:
        """Returns a message to a host with its signature."""
        return self.signer.sign(receiver, body, _wall_ms())

    def verify(self, data: bytes) -> bytes | failure.Failure:
        """Returns the body of a signed message, or why it is rejected."""
        return self.signer.verify(data, _wall_ms())


def _load_keyring(path: pathlib.Path) -> signing.Keyring | failure.Failure:
    """Returns the keys in a file, or why they can't be used."""
    try:
        return signing.parse_keys(path.read_bytes())
    except OSError as error:
        return failure.Failure("bad-keys", str(error.strerror))


def _wall_ms() -> int:
    """Returns the wall-clock time in milliseconds."""
    return int(time.time() * MS_PER_S)

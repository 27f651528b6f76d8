"""Replicated allotments of cold targets, beside the document in the log.

The first allotment of a cold time stays, so that no two leaders allot the
budget of a target twice. No clock is involved.
"""

import itertools

import msgspec

from tamarack_core import evacuations
from tamarack_core.internal.cold_targets import allotment as allotment_lib

KIND = "allotment"
"""Kind of the commands in the log."""

MAX_ALLOTMENTS = 1_000
"""Allotments that are kept; the oldest ones beyond are dropped."""


class Command(msgspec.Struct, frozen=True, array_like=True):
    """Command of the log that adds allotments.

    Attributes:
        allotments: The allotments.
        warmed: Ends of evacuations since which all targets are warm again.
    """

    allotments: tuple[allotment_lib.Allotment, ...] = ()
    warmed: tuple[evacuations.Ended, ...] = ()


class Numbered(msgspec.Struct, frozen=True, array_like=True):
    """An allotment with its number.

    Attributes:
        number: Number that rises with each allotment.
        allotment: The allotment.
    """

    number: int
    allotment: allotment_lib.Allotment


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the allotments in a snapshot.

    Attributes:
        number: Number of the last allotment.
        allotments: Those that are kept, the oldest first.
    """

    number: int = 0
    allotments: tuple[Numbered, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


class AllotmentLog:
    """Applies allotments in the order of the log.

    Attributes:
        number: Number of the last allotment.
        by_key: The allotments that are kept, the oldest first.
        new_allotments: Allotments applied since the last `take_new`.
        skipped: Number of commands that could not be read.
    """

    __slots__ = ("by_key", "new_allotments", "number", "skipped")

    def __init__(self) -> None:
        """Initializes the state without allotments."""
        self.number = 0
        self.by_key: dict[allotment_lib.Key, Numbered] = {}
        self.new_allotments: list[allotment_lib.Allotment] = []
        self.skipped = 0

    def apply(self, payload: bytes) -> tuple[evacuations.Ended, ...]:
        """Applies a committed command; repeated allotments are skipped.

        A command that only a later version knows is skipped: an error would
        stop the replica for good.

        Args:
            payload: The encoded command.

        Returns:
            Ends of evacuations since which all targets are warm again.
        """
        try:
            command = _decoder.decode(payload)
        except msgspec.DecodeError:
            self.skipped += 1
            return ()
        for allotment in command.allotments:
            if allotment.key in self.by_key:
                continue
            self.number += 1
            self.by_key[allotment.key] = Numbered(self.number, allotment)
            self.new_allotments.append(allotment)
            if len(self.by_key) > MAX_ALLOTMENTS:
                del self.by_key[next(iter(self.by_key))]
        return command.warmed

    def snapshot(self) -> Snapshot:
        """Returns the state after the last applied command."""
        return Snapshot(self.number, tuple(self.by_key.values()))

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state by that of a snapshot.

        All allotments count as new, as it is unknown when they were applied.
        """
        self.number = snapshot.number
        self.by_key = {
            numbered.allotment.key: numbered for numbered in snapshot.allotments
        }
        self.new_allotments = [
            numbered.allotment for numbered in snapshot.allotments
        ]

    def since(self, number: int) -> list[allotment_lib.Allotment]:
        """Returns the allotments after a number, the newest first.

        Args:
            number: The number.
        """
        newest = itertools.takewhile(
            lambda numbered: numbered.number > number,
            reversed(self.by_key.values()),
        )
        return [numbered.allotment for numbered in newest]

    def take_new(self) -> list[allotment_lib.Allotment]:
        """Returns the new allotments, and forgets them."""
        allotments, self.new_allotments = self.new_allotments, []
        return allotments


def encode(command: Command) -> bytes:
    """Returns the payload of a command."""
    return _encoder.encode(command)

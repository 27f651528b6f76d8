"""Replicated state of evacuations, beside the document in the log."""

import msgspec

from tamarack_core import evacuations

KIND = "evacuation"
"""Kind of the commands in the log."""


class Command(msgspec.Struct, frozen=True, array_like=True):
    """Command of the log that applies an order.

    Attributes:
        order: The order.
        token: Identifier of the request, unique over all control hosts.
    """

    order: evacuations.Order
    token: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the evacuations in a snapshot.

    Attributes:
        state: The evacuated domains.
        ended: Domains for which an order to end was applied.
    """

    state: evacuations.Evacuations = evacuations.Evacuations()
    ended: tuple[str, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


class EvacuationLog:
    """Applies orders in the order of the log.

    Attributes:
        state: The evacuated domains.
        ended: Domains for which an order to end was applied, whether or not
            they are evacuated again; delayed duplicates of that order, and of
            the one that it reversed, may still arrive.
        new_commands: Commands applied since the last `take_new`.
        has_changed: Whether the state changed since the last `take_new`.
        skipped: Number of commands that could not be read.
    """

    __slots__ = ("ended", "has_changed", "new_commands", "skipped", "state")

    def __init__(self) -> None:
        """Initializes the state without evacuations."""
        self.state = evacuations.Evacuations()
        self.ended: set[str] = set()
        self.new_commands: list[Command] = []
        self.has_changed = False
        self.skipped = 0

    def apply(self, payload: bytes) -> None:
        """Applies a committed command.

        An order that only a later version knows is skipped: an error would
        stop the replica for good.

        Args:
            payload: The encoded command.
        """
        try:
            command = _decoder.decode(payload)
        except msgspec.DecodeError:
            self.skipped += 1
            return
        order = command.order
        if order.action is evacuations.Action.END:
            self.ended.add(order.domain)
        self.state = evacuations.apply(self.state, order)
        self.new_commands.append(command)
        self.has_changed = True

    def snapshot(self) -> Snapshot:
        """Returns the state after the last applied command."""
        return Snapshot(self.state, tuple(sorted(self.ended)))

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state by that of a snapshot.

        The orders that led to it count as applied now, as the time at which
        they were applied is unknown. A domain whose evacuation was ended has
        been evacuated before.
        """
        self.state = snapshot.state
        self.ended = set(snapshot.ended)
        started = sorted({*snapshot.ended, *snapshot.state.domains})
        self.new_commands = [
            Command(evacuations.Order(domain, action), "")
            for domains, action in (
                (started, evacuations.Action.START),
                (snapshot.ended, evacuations.Action.END),
            )
            for domain in domains
        ]
        self.has_changed = True

    def forget_ended(self, warmed: tuple[evacuations.Ended, ...]) -> None:
        """Removes ends of evacuations since which all targets are warm again.

        The state for new flows stays as it is, and so does its revision.

        Args:
            warmed: The ends; later ones of the same domains are kept.
        """
        if not warmed:
            return
        removed = {(end.domain, end.revision) for end in warmed}
        self.state = msgspec.structs.replace(
            self.state,
            ended=tuple(
                end
                for end in self.state.ended
                if (end.domain, end.revision) not in removed
            ),
        )
        self.has_changed = True

    def take_new(self) -> list[Command]:
        """Returns the new commands, and forgets them."""
        commands, self.new_commands = self.new_commands, []
        self.has_changed = False
        return commands


def encode(command: Command) -> bytes:
    """Returns the payload of a command."""
    return _encoder.encode(command)

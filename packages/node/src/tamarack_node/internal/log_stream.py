"""Lines for standard output: bounded in number, and never waited for."""

import os
import time

LINES_PER_S = 60.0
"""Lines that a host writes on average; each costs it processor time."""

BURST_LINES = 240.0
"""Lines that may come at once after a quiet time."""

BLOCKED_BYTES = 256 * 1024
"""Bytes that wait for a reader that does not read; later lines are left
out."""


class LogStream:
    """Writes lines without ever blocking, and says what was left out.

    Attributes:
        descriptor: Where lines go.
        left_out: Lines left out since the last one written.
    """

    __slots__ = ("_allowance", "_at_s", "_pending", "descriptor", "left_out")

    def __init__(self, descriptor: int) -> None:
        """Creates the stream; the descriptor becomes non-blocking.

        Args:
            descriptor: Where lines go.
        """
        self.descriptor = descriptor
        self.left_out = 0
        self._allowance = BURST_LINES
        self._at_s = time.monotonic()
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes whole lines, or leaves them out.

        Args:
            text: Lines with their ends.

        Returns:
            The length of the text, as for any stream.
        """
        if not self._is_allowed():
            self.left_out += 1
            return len(text)
        if self.left_out:
            text = f"event=log-lines-left-out count={self.left_out}\n{text}"
            self.left_out = 0
        self._pending += text.encode(errors="replace")
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Hands over what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self.descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place to say so.
                self._pending = b""
                return
            self._pending = self._pending[written:]

    def _is_allowed(self) -> bool:
        """Returns whether the budget has room for a line."""
        now_s = time.monotonic()
        self._allowance = min(
            BURST_LINES, self._allowance + (now_s - self._at_s) * LINES_PER_S
        )
        self._at_s = now_s
        if self._allowance < 1 or len(self._pending) > BLOCKED_BYTES:
            return False
        self._allowance -= 1
        return True

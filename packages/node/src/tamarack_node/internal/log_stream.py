"""Rate-limited log output that never blocks the event loop."""

import os
import time

LINES_PER_S = 60.0
"""Sustained rate of lines; limits the processor time that logging takes."""

BURST_LINES = 240.0
"""Lines that may be written at once after a time without lines."""

MAX_PENDING_BYTES = 256 * 1024
"""Bytes buffered while the reader does not read. Further lines are dropped
once the buffer is larger."""


class LogStream:
    """Writes lines without blocking, and reports how many were dropped.

    Attributes:
        descriptor: File descriptor to write to.
        dropped_lines: Lines dropped since the last one written.
    """

    __slots__ = (
        "_allowance",
        "_pending",
        "_refilled_s",
        "descriptor",
        "dropped_lines",
    )

    def __init__(self, descriptor: int) -> None:
        """Initializes the stream and makes the descriptor non-blocking.

        Args:
            descriptor: File descriptor to write to.
        """
        self.descriptor = descriptor
        self.dropped_lines = 0
        self._allowance = BURST_LINES
        self._refilled_s = time.monotonic()
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes whole lines, or drops them when over the limit.

        Args:
            text: Lines, each with its newline.

        Returns:
            The length of the text, as for any stream.
        """
        if not self._is_allowed():
            self.dropped_lines += 1
            return len(text)
        if self.dropped_lines:
            text = (
                f"event=log-lines-left-out count={self.dropped_lines}\n{text}"
            )
            self.dropped_lines = 0
        self._pending += text.encode(errors="replace")
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as many buffered bytes as the reader accepts now."""
        while self._pending:
            try:
                written = os.write(self.descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and so is the only place to report it.
                self._pending = b""
                return
            self._pending = self._pending[written:]

    def _is_allowed(self) -> bool:
        """Returns whether the rate limit and the buffer allow a line."""
        now_s = time.monotonic()
        self._allowance = min(
            BURST_LINES,
            self._allowance + (now_s - self._refilled_s) * LINES_PER_S,
        )
        self._refilled_s = now_s
        if self._allowance < 1 or len(self._pending) > MAX_PENDING_BYTES:
            return False
        self._allowance -= 1
        return True

"""Entry point of `tamarackd`.

Loading the program takes longer than a supervisor may wait before it sends a
signal, so the signals are blocked first; see `start_signals`.
"""

import signal


def main() -> None:
    """Runs `tamarackd`."""
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
    from tamarack_node import main as command_line

    command_line.main()


if __name__ == "__main__":
    main()

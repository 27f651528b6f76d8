"""Entry point of `tamarackd`."""

import click


@click.group()
def main() -> None:
    """Runs one host of the tamarackford load balancer."""

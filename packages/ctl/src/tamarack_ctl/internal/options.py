"""Command line options shared by several commands."""

from collections.abc import Callable
import ipaddress
from typing import Any

import click

from tamarack_core import peers

HOSTS_VARIABLE = "TAMARACK_HOSTS"


class EndpointType(click.ParamType[peers.Endpoint]):
    """Parameter type for `127.0.0.1:7001` or `[::1]:7001`."""

    name = "address:port"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> peers.Endpoint:
        """Returns the endpoint that an argument names."""
        if isinstance(value, peers.Endpoint):
            return value
        address, _, port = str(value).rpartition(":")
        address = address.strip("[]")
        try:
            ipaddress.ip_address(address)
            return peers.Endpoint(address, int(port))
        except ValueError:
            self.fail(f"{value!r} is not ADDRESS:PORT", param, ctx)


def _hosts(*, required: bool) -> Callable[..., Any]:
    """Returns the option `--host`."""
    return click.option(
        "--host",
        "hosts",
        type=EndpointType(),
        multiple=True,
        required=required,
        envvar=HOSTS_VARIABLE,
        help=(
            "Host to query; may be repeated. Default: the "
            f"space-separated list in {HOSTS_VARIABLE}."
        ),
    )


hosts = _hosts(required=True)
optional_hosts = _hosts(required=False)

as_json: Callable[..., Any] = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON."
)

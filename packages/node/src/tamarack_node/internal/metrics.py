"""OpenTelemetry metrics in the text format of Prometheus."""

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
import prometheus_client

from tamarack_core import context as context_lib

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Metrics:
    """Metrics of one host.

    Attributes:
        provider: Meter provider of the OpenTelemetry SDK.
    """

    __slots__ = ("provider",)

    def __init__(
        self,
        context: context_lib.Context,
        gauges: dict[str, Callable[[], float]],
    ) -> None:
        """Initializes the metrics and registers the instruments.

        Args:
            context: Counters to export.
            gauges: Functions that read the gauges, by name of the gauge.
        """
        resource = resources.Resource.create(
            {
                "service.name": "tamarackd",
                "host.name": context.host.host,
                "tamarackford.domain": context.host.domain,
            }
        )
        self.provider = sdk.MeterProvider(
            metric_readers=[prometheus.PrometheusMetricReader()],
            resource=resource,
        )
        meter = self.provider.get_meter("tamarackford")
        meter.create_observable_counter(
            "tamarackford.events",
            [_counter_callback(context)],
            description="Events by name",
        )
        for name, read in gauges.items():
            meter.create_observable_gauge(
                f"tamarackford.{name}", [_gauge_callback(read)]
            )

    def scrape(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest()


def _counter_callback(
    context: context_lib.Context,
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    """Returns the callback that observes the counters of a host."""

    def read(options: api.CallbackOptions) -> Iterable[api.Observation]:
        return [
            api.Observation(count, {"name": name})
            for name, count in context.counters.items()
        ]

    return read


def _gauge_callback(
    read_value: Callable[[], float],
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    """Returns the callback that observes one gauge."""

    def read(options: api.CallbackOptions) -> Iterable[api.Observation]:
        return [api.Observation(read_value())]

    return read

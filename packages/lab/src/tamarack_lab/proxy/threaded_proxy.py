"""Proxy in a background thread, for synchronous code such as tests."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import threading
from typing import Any

from tamarack_core import peers
from tamarack_lab.proxy import process
from tamarack_lab.proxy import settings as proxy_settings

_TIMEOUT_S = 10.0


class ThreadedProxy:
    """Runs a proxy on an event loop in a separate thread.

    Attributes:
        settings: Settings.
    """

    __slots__ = ("_loop", "_proxy", "_thread", "settings")

    def __init__(self, settings: proxy_settings.Settings) -> None:
        """Initializes a proxy that is not started.

        Args:
            settings: Settings.
        """
        self.settings = settings
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._proxy: process.Proxy | None = None

    @property
    def proxy(self) -> process.Proxy:
        """The running proxy.

        Raises:
            RuntimeError: The proxy is not started.
        """
        if self._proxy is None:
            raise RuntimeError("the proxy is not started; call start()")
        return self._proxy

    def start(self) -> None:
        """Starts the proxy.

        Raises:
            OSError: An endpoint cannot be bound.
            ValueError: A setting is invalid.
        """
        self._thread.start()
        try:
            self._run_on_loop(self._start())
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Closes the proxy and ends the thread."""
        if self._proxy is not None:
            self._run_on_loop(self._proxy.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_TIMEOUT_S)
        self._loop.close()

    def endpoint(self, name: str) -> peers.Endpoint:
        """Returns the endpoint at which a link listens."""
        return self.proxy.endpoint(name)

    def set_faults(self, *schedule: proxy_settings.Fault) -> None:
        """Replaces all faults; without arguments, removes them."""
        self._run_on_loop(self._set_faults(schedule))

    def counters(self) -> dict[str, dict[str, int]]:
        """Returns the counters of each channel, by link and direction."""
        return self.proxy.counters()

    async def _start(self) -> None:
        """Creates and starts the proxy on the event loop of the thread."""
        proxy = process.Proxy(self.settings)
        self._proxy = proxy
        await proxy.start()

    async def _set_faults(
        self, schedule: Sequence[proxy_settings.Fault]
    ) -> None:
        """Replaces all faults on the event loop of the thread."""
        self.proxy.set_faults(schedule)

    def _run_on_loop(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine on the event loop of the thread and waits for it."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            _TIMEOUT_S
        )

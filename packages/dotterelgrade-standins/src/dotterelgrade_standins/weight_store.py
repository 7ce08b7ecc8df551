"""Stand-in for the platform's rate-limited weight store."""

import time
from typing import Any

from dotterelgrade_standins import web

serving = web.serving

_FIELDS = ("model", "version", "first_layer", "last_layer", "host")


class WeightStore(web.JsonApp):
    """Lets loads begin one after another, and refuses when many wait."""

    def __init__(
        self, *, loads_per_s: float = 2.0, max_wait_s: float = 2.0
    ) -> None:
        """Initializes the store.

        Args:
            loads_per_s: Loads that may begin per second.
            max_wait_s: Longest wait that is granted, s.
        """
        super().__init__()
        self._loads_per_s = loads_per_s
        self._max_wait_s = max_wait_s
        self._free_at = 0.0
        self._granted: list[dict[str, Any]] = []
        self.route("POST", "/loads", self._handle_load)

    def __repr__(self) -> str:
        """Shows how many loads were granted."""
        return f"<WeightStore {len(self._granted)} loads>"

    @property
    def granted(self) -> list[dict[str, Any]]:
        """The loads that were granted, oldest first."""
        return list(self._granted)

    def _handle_load(self, call: web.Call) -> Any:
        order = call.json()
        missing = [name for name in _FIELDS if name not in order]
        if missing:
            raise web.HttpError(400, {"error": f"missing: {missing}"})
        now = time.monotonic()
        wait_s = max(0.0, self._free_at - now)
        if wait_s > self._max_wait_s:
            raise web.HttpError(429, {"retry_after_ms": wait_s * 1000})
        self._free_at = now + wait_s + 1 / self._loads_per_s
        self._granted.append({name: order[name] for name in _FIELDS})
        return {"wait_ms": wait_s * 1000}

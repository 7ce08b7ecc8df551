"""Stand-in for a plain service that takes deposits and confirms jobs."""

import dataclasses
import time
from typing import Any

import gevent

from dotterelgrade_standins import web

serving = web.serving


@dataclasses.dataclass(frozen=True, kw_only=True)
class DepositFaults:
    """What the service plays.

    Attributes:
        delay_s: Time that a run takes, s.
        drop_before: How many further calls are dropped without a run.
        drop_after: How many further calls run and lose their answer.
    """

    delay_s: float = 0.0
    drop_before: int = 0
    drop_after: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One run of a call that may not be repeated.

    Attributes:
        run: Number of the run, from 1.
        kind: "deposits" or "confirmations".
        key: Idempotency key that the call carried, or empty.
        body: The decoded body.
        at_s: Monotonic time, s.
    """

    run: int
    kind: str
    key: str
    body: dict[str, Any]
    at_s: float


class DepositService(web.JsonApp):
    """Counts every run, and does nothing to prevent a second one."""

    def __init__(self, *, faults: DepositFaults | None = None) -> None:
        """Initializes an empty ledger.

        Args:
            faults: What it plays from the beginning.
        """
        super().__init__()
        self._faults = faults or DepositFaults()
        self._ledger: list[Run] = []
        self.route("POST", "/(deposits|confirmations)", self._handle_run)
        self.route("GET", "/jobs/([^/]+)", self._handle_job)
        self.route("GET", "/ledger", lambda _: self._show_ledger())
        self.route("POST", "/faults", self._handle_faults)

    def __repr__(self) -> str:
        """Shows how many runs there were."""
        return f"<DepositService {len(self._ledger)} runs>"

    @property
    def ledger(self) -> list[Run]:
        """Every run, oldest first."""
        return list(self._ledger)

    def set_faults(self, **changes: Any) -> None:
        """Changes fields of `DepositFaults`; the others stay."""
        self._faults = web.apply_changes(self._faults, changes)

    def _handle_run(self, call: web.Call) -> Any:
        body = call.json()
        if not isinstance(body, dict):
            raise web.HttpError(400, {"error": "expected an object"})
        if self._use_up("drop_before"):
            raise web.DropConnectionError
        run = Run(
            run=len(self._ledger) + 1,
            kind=call.groups[0],
            key=call.headers.get("idempotency-key", ""),
            body=body,
            at_s=time.monotonic(),
        )
        self._ledger.append(run)
        if self._faults.delay_s:
            gevent.sleep(self._faults.delay_s)
        if self._use_up("drop_after"):
            raise web.DropConnectionError
        return {
            "deposit": f"{run.kind}-{run.run}",
            "run": run.run,
            "account": body.get("account", ""),
        }

    def _handle_job(self, call: web.Call) -> Any:
        job = call.groups[0]
        runs = [run.run for run in self._ledger if run.body.get("job") == job]
        return {"job": job, "runs": runs}

    def _show_ledger(self) -> Any:
        return {"runs": [dataclasses.asdict(run) for run in self._ledger]}

    def _handle_faults(self, call: web.Call) -> Any:
        self.set_faults(**call.json())
        return dataclasses.asdict(self._faults)

    def _use_up(self, name: str) -> bool:
        left = getattr(self._faults, name)
        if left <= 0:
            return False
        self._faults = dataclasses.replace(self._faults, **{name: left - 1})
        return True

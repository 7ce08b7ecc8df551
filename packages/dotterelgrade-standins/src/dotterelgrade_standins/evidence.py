"""Tells the oracle what callers got and what the backend servers ran."""

import collections

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import oracle as oracle_lib


class Evidence:
    """Collects what was seen of a fleet for an oracle."""

    def __init__(
        self, plan: fleet_plan.FleetPlan, oracle: oracle_lib.Oracle
    ) -> None:
        """Initializes without evidence.

        Args:
            plan: The fleet.
            oracle: Who judges it.
        """
        self._plan = plan
        self._oracle = oracle
        self._collected: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._steps: collections.Counter[str] = collections.Counter()

    @property
    def oracle(self) -> oracle_lib.Oracle:
        """Who judges the fleet."""
        return self._oracle

    def replace_oracle(self, oracle: oracle_lib.Oracle) -> None:
        """Tells another oracle from now on."""
        self._oracle = oracle
        self._steps.clear()

    def steps_by_accelerator(self) -> dict[str, int]:
        """Returns the inputs that ran on each accelerator kind."""
        return dict(self._steps)

    def tell(
        self, call: str, answer: caller_lib.Answer, *, excused: bool = False
    ) -> None:
        """Notes the end of a model request.

        Args:
            call: Name of the call.
            answer: What the caller got.
            excused: Whether its entry was killed or the caller hung up.
        """
        if answer.is_complete:
            self._oracle.answered(call=call, text=answer.text)
        else:
            self._tell_failure(call, answer, excused=excused)

    def tell_deposit(
        self, call: str, answer: caller_lib.Answer, *, excused: bool = False
    ) -> None:
        """Notes the end of a deposit; see `tell`."""
        if answer.is_complete:
            self._oracle.answered(call=call, account=answer.body["account"])
        else:
            self._tell_failure(call, answer, excused=excused)

    def _tell_failure(
        self, call: str, answer: caller_lib.Answer, *, excused: bool
    ) -> None:
        if answer.kind:
            self._oracle.failed(
                call=call, run=answer.run, request_id=answer.request_id
            )
        else:
            self._oracle.broken(call=call, excused=excused)

    def collect(self) -> None:
        """Reads what every backend server has run since the last time."""
        for worker in self._plan.workers:
            self.collect_engine(worker)
        for worker in self._plan.order_workers:
            self._collect_deposits(worker)

    def collect_engine(self, worker: fleet_plan.Worker) -> bool:
        """Reads what one engine has run; does nothing when it is dead."""
        seen = self._collected.get(worker.host, 0)
        value = caller_lib.get_json(
            worker.host, fleet_plan.ENGINE_PORT, f"/runs?from={seen}"
        )
        if value is None:
            return False
        incarnation = self._incarnations.get(worker.host, 0)
        for run in value["runs"]:
            self._steps[worker.accelerator] += run["count"]
            self._oracle.ran_step(
                engine=f"{worker.host}#{incarnation}",
                host=worker.host,
                sequence=run["sequence"],
                position=run["position"],
                count=run["count"],
                first_layer=run["first_layer"],
                at_s=run["at_s"],
            )
        self._collected[worker.host] = value["next"]
        return True

    def collected(self, worker: fleet_plan.Worker) -> int:
        """Returns how many runs of an engine were collected."""
        return self._collected.get(worker.host, 0)

    def note_restart(self, worker: fleet_plan.Worker) -> None:
        """Notes that an engine was started anew, with an empty record."""
        self._collected[worker.host] = 0
        self._incarnations[worker.host] = (
            self._incarnations.get(worker.host, 0) + 1
        )

    def _collect_deposits(self, worker: fleet_plan.Worker) -> None:
        value = caller_lib.get_json(
            worker.host, fleet_plan.SERVICE_PORT, "/ledger"
        )
        if value is None:
            return
        key = f"{worker.host} ledger"
        for run in value["runs"][self._collected.get(key, 0) :]:
            self._oracle.ran_deposit(
                account=run["body"].get("account", ""),
                host=worker.host,
                at_s=run["at_s"],
            )
        self._collected[key] = len(value["runs"])

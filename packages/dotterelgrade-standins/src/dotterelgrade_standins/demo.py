"""The subcommand that runs a small fleet, breaks a stage and counts answers."""

from collections.abc import Callable
import pathlib
import tempfile
import time
from typing import ClassVar

from cleo import helpers
from cleo.commands import command as command_lib
import gevent
import uuid6

from dotterelgrade import rules
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import commands
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import launcher as launcher_lib
from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import oracle as oracle_lib

REPLICAS = 2
WORK_TIMEOUT_S = 20.0
LONG_ANSWER_TOKENS = 60
SHORT_ANSWER_TOKENS = 12
PARALLEL_REQUESTS = 6
MOST_RETRIES = 8
TIME_SCALE = 6.0
_PROMPT = "eight point star in rosewood and maple for bench order"


class DemoError(Exception):
    """The demo can't go on."""


class Demo:
    """One run of the demo on a fleet that is up."""

    def __init__(
        self,
        fleet: fleet_run.Fleet,
        say: Callable[[str], None],
    ) -> None:
        """Initializes a demo that has sent nothing.

        Args:
            fleet: The fleet.
            say: Shows a line of progress.
        """
        plan = fleet.plan
        self._plan = plan
        self._launcher = fleet.launcher
        self._say = say
        self._evidence = fleet.evidence
        self._workspaces = plan.rules_of(rules.WorkspaceRule)
        self._model = plan.rules_of(rules.ModelRule)[0].name
        self._service = next(
            rule.name
            for rule in plan.rules_of(rules.ServiceRule)
            if rule.name == "deposits"
        )
        self._sent = 0

    @property
    def oracle(self) -> oracle_lib.Oracle:
        """Who judges the answers."""
        return self._evidence.oracle

    def run(self) -> None:
        """Sends requests and breaks a stage.

        Raises:
            DemoError: A step of the demo itself failed.
        """
        self._whole()
        self._streamed()
        self._deposit_twice()
        self._kill_a_stage()
        self._streamed()
        self._evidence.collect()

    def _caller(self, workspace: int, entry: int) -> caller_lib.Caller:
        rule = self._workspaces[workspace % len(self._workspaces)]
        hosts = self._plan.entries
        return caller_lib.Caller(
            hosts[entry % len(hosts)].host,
            key=f"key-{rule.name}",
            port=fleet_plan.HTTP_PORT,
        )

    def _ask(
        self, *, number: int, max_tokens: int, stream: bool
    ) -> caller_lib.Answer:
        """Sends a request, again when it was refused and told when."""
        answer = self._ask_once(number, max_tokens=max_tokens, stream=stream)
        for _ in range(MOST_RETRIES):
            if answer.run != "not_run" or answer.retry_after_s is None:
                break
            gevent.sleep(answer.retry_after_s)
            answer = self._ask_once(
                number, max_tokens=max_tokens, stream=stream
            )
        return answer

    def _ask_once(
        self, number: int, *, max_tokens: int, stream: bool
    ) -> caller_lib.Answer:
        self._sent += 1
        call, prompt = f"call-{self._sent}", f"{_PROMPT} {self._sent}"
        self.oracle.sent(
            call=call, model=self._model, prompt=prompt, max_tokens=max_tokens
        )
        caller = self._caller(number, number)
        answer = caller.complete(
            prompt, model=self._model, max_tokens=max_tokens, stream=stream
        )
        caller.close()
        self._evidence.tell(call, answer)
        self._say(f"  {call}: {_describe(answer)}")
        return answer

    def _whole(self) -> None:
        self._say("whole answers, one through each entry")
        for number in range(len(self._plan.entries)):
            self._ask(
                number=number, max_tokens=SHORT_ANSWER_TOKENS, stream=False
            )

    def _streamed(self) -> None:
        self._say(f"{PARALLEL_REQUESTS} streamed answers at once")
        asks = [
            gevent.spawn(
                self._ask,
                number=number,
                max_tokens=SHORT_ANSWER_TOKENS,
                stream=True,
            )
            for number in range(PARALLEL_REQUESTS)
        ]
        gevent.joinall(asks, raise_error=True)

    def _deposit_twice(self) -> None:
        key = str(uuid6.uuid7())
        account = f"account-{key[-6:]}"
        body = {"account": account, "amount": 1200}
        self._say("a deposit, and the same deposit again at the other entry")
        for number in range(2):
            self._sent += 1
            call = f"call-{self._sent}"
            self.oracle.sent(call=call, account=account)
            answer = self._caller(0, number).call_service(
                self._service, "deposits", body, key=key
            )
            self._evidence.tell_deposit(call, answer)
            self._say(f"  {call}: {_describe(answer)} {answer.body}")

    def _kill_a_stage(self) -> None:
        self._say("a long answer; its middle stage is killed meanwhile")
        for worker in self._plan.workers:
            self._evidence.collect_engine(worker)
        ask = gevent.spawn(
            self._ask, number=0, max_tokens=LONG_ANSWER_TOKENS, stream=True
        )
        victim = self._await_victim()
        self._evidence.collect_engine(victim)
        self.oracle.fault()
        self._launcher.kill(victim.agent_process)
        self._launcher.kill(victim.backend_process)
        self._say(
            f"  killed layers {victim.place.first_layer}-"
            f"{victim.place.last_layer} on {victim.host}"
            f"{'' if not ask.dead else ' AFTER THE ANSWER'}"
        )
        if ask.dead:
            raise DemoError("the answer ended before the stage was killed")
        ask.get()

    def _await_victim(self) -> fleet_plan.Worker:
        """Waits until a middle stage is a third through the long answer."""
        deadline = time.monotonic() + WORK_TIMEOUT_S
        while time.monotonic() < deadline:
            for worker in self._middle_workers():
                value = caller_lib.get_json(
                    worker.host, fleet_plan.ENGINE_PORT, "/sequences"
                )
                if value and value["sequences"] and self._is_midway(worker):
                    return worker
            gevent.sleep(0.01)
        raise DemoError("no middle stage works on the long answer")

    def _middle_workers(self) -> list[fleet_plan.Worker]:
        return [
            worker
            for worker in self._plan.workers
            if worker.place and worker.place.model == self._model
            if worker.place.first_layer > 0
        ]

    def _is_midway(self, worker: fleet_plan.Worker) -> bool:
        path = f"/runs?from={self._evidence.collected(worker)}"
        value = caller_lib.get_json(worker.host, fleet_plan.ENGINE_PORT, path)
        return bool(value) and len(value["runs"]) > LONG_ANSWER_TOKENS // 3


def _describe(answer: caller_lib.Answer) -> str:
    if answer.is_complete:
        return f"whole, {answer.tokens} tokens, {answer.total_s * 1000:.0f} ms"
    if answer.kind:
        again = f", again after {answer.retry_after_s} s"
        return (
            f"{answer.kind} ({answer.run})"
            f"{again if answer.retry_after_s is not None else ''}"
        )
    return f"broken after {answer.tokens} tokens"


@commands.register
class DemoCommand(command_lib.Command):
    """Runs a small fleet as separate processes and counts its answers."""

    name = "demo"
    description = "run a small fleet, break a stage, and count the answers"
    options: ClassVar = [
        helpers.option(
            "contract",
            None,
            "contract file to apply",
            flag=False,
            default="examples/tabuleiro.contract",
        ),
        helpers.option(
            "keep",
            None,
            "directory to keep the settings and logs of the processes in",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Runs the demo; 0 when every answer was whole, once and right."""
        contract = pathlib.Path(self.option("contract"))
        try:
            settings = demo_settings(contract)
        except loopback_range.RangeTakenError as error:
            self.line_error(f"demo failed: {error}")
            return 1
        plan = fleet_plan.FleetPlan(
            contract.read_text(encoding="utf-8"), settings
        )
        keep = self.option("keep")
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(keep or scratch)
            directory.mkdir(parents=True, exist_ok=True)
            return self._run(plan, directory)

    def _run(self, plan: fleet_plan.FleetPlan, directory: pathlib.Path) -> int:
        count = len(plan.deployment().processes)
        self.line(f"starting {count} processes: {plan}")
        try:
            with fleet_run.running(plan, directory=directory) as fleet:
                self.line("the contract is in force, entries are ready")
                demo = Demo(fleet, self.line)
                demo.run()
        except (
            DemoError,
            fleet_run.FleetError,
            launcher_lib.StartError,
        ) as error:
            self.line_error(f"demo failed: {error}")
            return 1
        return self._report(demo.oracle)

    def _report(self, oracle: oracle_lib.Oracle) -> int:
        for violation in oracle.violations():
            self.line_error(violation)
        counts = oracle.counts()
        self.line(
            f"demo: {counts.whole} answers whole, {counts.lost} lost, "
            f"{counts.doubled} doubled, {counts.wrong} wrong"
        )
        is_good = not (counts.lost or counts.doubled or counts.wrong)
        return 0 if is_good and counts.whole else 1


def demo_settings(contract: pathlib.Path) -> fleet_plan.PlanSettings:
    """Returns the size of the demo's fleet."""
    text = contract.read_text(encoding="utf-8")
    full = fleet_plan.FleetPlan(text, fleet_plan.PlanSettings())
    return fleet_plan.PlanSettings(
        network=loopback_range.free_network(),
        replicas=REPLICAS,
        order_workers=2,
        time_scale=TIME_SCALE,
        mix=("a100", "l40"),
        models=(full.rules_of(rules.ModelRule)[0].name,),
    )

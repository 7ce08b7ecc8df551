"""Requests with a part that crashes workers, beside sound ones.

No two requests are alike; sound ones share the key and the first part. The
judge counts what the users' letters count.
"""

import dataclasses
import http.client
import itertools
import threading
import time

import deployment
import engines

BAD_PART = "bad0bad0"
COMMON_PART = "5c1e07a2"
PATH = "/drafts/inlay"
_CRASHES = 5
MOST_ARRIVALS = 3
_LEAST_SOUND = 20
_LEAST_SHARE = 0.5
_DEADLINE_S = 20.0
# A client abandons a stream after a gap of so long.
_LONGEST_GAP_S = 2.0
_TOKENS = 40
_MAX_RETRIES = 1


@dataclasses.dataclass(frozen=True)
class Sound:
    """How a sound request ended.

    Attributes:
        at: Monotonic time at which it was sent, s.
        begun: Whether its answer began at the first attempt.
    """

    at: float
    begun: bool


class Judge:
    """Counts crashes, arrivals at workers and sound requests."""

    def __init__(self, record: deployment.Record) -> None:
        """Initializes a judge that has seen nothing."""
        self._record = record
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.sound: list[Sound] = []
        self.bad_ended_at = float("inf")

    def arrived(self, engine: engines.Engine, headers: dict) -> None:
        """Notes that a request reaches a worker."""
        if is_bad(headers):
            self.arrived_at.append(time.monotonic())
            self._record.write(
                f"worker {engine.server_id}: bad request "
                f"{headers['x-dotterelgrade-attempt-id']} arrives, path "
                f"{headers.get('x-dotterelgrade-hops')}"
            )

    def crashes(self) -> None:
        """Notes that a worker crashes under a request."""
        self.crashed_at.append(time.monotonic())

    def faults(self) -> list[str]:
        """Returns what broke the rules."""
        count = len(self.crashed_at)
        if count < _CRASHES:
            self._record.write(f"judge: {count} crashes")
            return []
        fifth_at = self.crashed_at[_CRASHES - 1]
        late = [
            at
            for at in self.arrived_at
            if at > fifth_at + deployment.STABILITY_S
        ]
        faults = []
        if len(late) > MOST_ARRIVALS:
            faults.append(
                f"BUDGET: {len(late)} requests with the part that crashes "
                f"workers reached workers later than {deployment.STABILITY_S} "
                f"s after the fifth of {count} crashes"
            )
        during = self._share(
            fifth_at + 2 * deployment.STABILITY_S, self.bad_ended_at
        )
        before = self._share(0.0, self.crashed_at[0])
        self._record.write(f"judge: sound before {before}, during {during}")
        least = min(before[0], during[0])
        if least >= _LEAST_SOUND and during[1] < _LEAST_SHARE * before[1]:
            faults.append(
                f"LOST: {during[1]:.2f} of {during[0]} sound requests began at "
                f"the first attempt beside them, {before[1]:.2f} of "
                f"{before[0]} before"
            )
        return faults

    def _share(self, since: float, until: float) -> tuple[int, float]:
        chosen = [s.begun for s in self.sound if since < s.at < until]
        return len(chosen), sum(chosen) / max(len(chosen), 1)


def is_bad(headers: dict) -> bool:
    """Returns whether a request has the part that crashes workers."""
    return BAD_PART in headers.get("x-dotterelgrade-prompt-prefix", "")


class Clients:
    """Sends requests at a steady rate, to one front after the other."""

    def __init__(
        self,
        made: deployment.Deployment,
        judge: Judge,
        record: deployment.Record,
    ) -> None:
        """Initializes clients that send nothing yet."""
        self._made = made
        self._judge = judge
        self._record = record
        self._numbers = itertools.count(1)
        self._threads: list[threading.Thread] = []

    def send_sound(self, *, per_s: float, for_s: float) -> None:
        """Starts sending sound requests."""
        self._start(self._steady, per_s, for_s, self.ask_sound)

    def send_bad(self, *, per_s: float, for_s: float) -> None:
        """Starts sending bad requests."""
        self._start(self._steady, per_s, for_s, self.ask_bad)

    def join(self) -> None:
        """Waits for all requests."""
        for thread in self._threads:
            thread.join()

    def _start(self, target: object, *args: object) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _steady(self, per_s: float, for_s: float, ask: object) -> None:
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            self._start(ask)
            time.sleep(1.0 / per_s)

    def ask_sound(self) -> None:
        """Sends one sound request."""
        number = next(self._numbers)
        prefix = f"{COMMON_PART}:40,{number:08x}:700"
        sent_at = time.monotonic()
        _, begun = self._ask(f"sound{number:011x}", prefix, number)
        self._judge.sound.append(Sound(sent_at, begun))

    def ask_bad(self) -> None:
        """Sends one bad request, and once more if it was refused or cut."""
        number = next(self._numbers)
        prefix = f"{COMMON_PART}:40,{BAD_PART}:100,{number:08x}:600"
        for attempt in range(1 + _MAX_RETRIES):
            name = f"bad{attempt}{number:012x}"
            whole, _ = self._ask(name, prefix, number + attempt)
            if whole:
                return
            time.sleep(0.5)

    def _ask(self, name: str, prefix: str, number: int) -> tuple[bool, bool]:
        """Returns whether the answer is whole, and whether it began."""
        front = self._made.fronts[number % len(self._made.fronts)]
        client = http.client.HTTPConnection(
            front.ip, front.port, timeout=_LONGEST_GAP_S
        )
        begun = False
        try:
            client.request(
                "POST",
                PATH,
                body=b"p" * 800,
                headers={
                    "Host": deployment.HOST,
                    "Authorization": f"Bearer {deployment.KEY}",
                    "X-Dotterelgrade-Attempt-Id": name,
                    "X-Dotterelgrade-Deadline-Ms": str(int(_DEADLINE_S * 1000)),
                    "X-Dotterelgrade-Model": "m0",
                    "X-Dotterelgrade-Token-Counts": f"740,{_TOKENS}",
                    "X-Dotterelgrade-Prompt-Prefix": prefix,
                },
            )
            response = client.getresponse()
            begun = response.status == http.HTTPStatus.OK
            response.read()
            result = f"{response.status}"
        except (OSError, http.client.HTTPException) as error:
            result = f"{type(error).__name__}"
        finally:
            client.close()
        self._record.write(f"client: {name} at {front.name}: {result}")
        return begun and result == "200", begun

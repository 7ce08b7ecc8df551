"""An error of a worker acquits a part of a prompt that crashes workers.

Some workers fail a part of their requests with a 500 while they are healthy.
The fronts take any answer to a request with the part for a service, and count
no crash against it for thirty seconds.
"""

import threading
import time

import crashing_prompts
import deployment
import engines
import sheet

_FRONTS = 3
_SETTLED_S = 4.0
_SOUND_PER_S = 8.0
_BAD_PER_S = 2.0
_CALM_S = 8.0
_BAD_S = 20.0
_DOWN_S = 4.0
_GREY_KIND = "a100"
_ERRORS = 0.45


def _case(record: deployment.Record, trouble: bool) -> list[str]:
    judge = crashing_prompts.Judge(record)
    with deployment.running(record, fronts=_FRONTS) as made:
        fleet = sheet.start(made)

        def write(headers: dict, hops: tuple[engines.Hop, ...]) -> None:
            bad = crashing_prompts.is_bad(headers)
            writer = fleet.by_address[hops[0].address]
            if bad and trouble and writer.alive:
                judge.crashes()
                writer.crash()
                threading.Timer(_DOWN_S, writer.start).start()

        fleet.on_arrival = judge.arrived
        fleet.on_write = write
        time.sleep(_SETTLED_S)
        clients = crashing_prompts.Clients(made, judge, record)
        clients.send_sound(per_s=_SOUND_PER_S, for_s=_CALM_S + _BAD_S)
        time.sleep(_CALM_S)
        for engine in fleet.by_address.values():
            if trouble and engine.kind == _GREY_KIND:
                engine.errors = _ERRORS
        clients.send_bad(per_s=_BAD_PER_S, for_s=_BAD_S)
        time.sleep(_BAD_S)
        judge.bad_ended_at = time.monotonic()
        clients.join()
    return judge.faults()


if __name__ == "__main__":
    deployment.run(_case, __file__)

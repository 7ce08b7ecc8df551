"""Chains of scripted engines, for tests of streams."""

import dataclasses

import front_fakes as fakes
import gevent


def events(first, last):
    return b"".join(fakes.event_bytes(n) for n in range(first, last + 1))


def resuming(script, *, last):
    """Runs a script, or streams on when an earlier event is named."""

    def resuming(sock, arrival):
        after = int(arrival.headers[b"after"] or 0)
        if after:
            script_of_rest = fakes.streaming(after + 1, last)
            script_of_rest(sock, arrival)
        else:
            script(sock, arrival)

    return resuming


def report(**rest):
    return dataclasses.replace(fakes.REPORT, orders=1, running=1, **rest)


def add_chains(front, first_scripts, other_scripts):
    """Two chains, in domains a and b; the first stages are scripted."""
    first = front.add("a1", *first_scripts, service="model", layers=(0, 8))
    other = front.add(
        "b1",
        *other_scripts,
        service="model",
        layers=(0, 8),
        failure_domain="b",
    )
    return first, other


def add_held_up(front, *, others, until):
    """A chain a1, a2 that falls silent after two events, and other stages.

    The third event comes when a condition holds; the first stage blames a2.
    """

    def held_up(sock, arrival):
        while not until():
            gevent.sleep(0.01)
        data = fakes.event_bytes(3)
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    first = front.add(
        "a1",
        fakes.streaming(1, 2, after=held_up),
        service="model",
        layers=(0, 4),
    )
    for name in ("a2", *others):
        front.add(
            name,
            fakes.silent,
            service="model",
            layers=(4, 8),
            failure_domain=name[0],
        )
    dark = front.state.fleet.get("a2").address
    engines = front.state.platform.engines
    engines.reports[first.address] = report(stalled={"r1": dark})
    return first, engines


def saying(rows, status=b"503 Full"):
    return fakes.answering(b"", status, b"not-run: 1\r\n" + rows)

"""Scripted chains of engines for tests of streams."""

import dataclasses

import front_fakes as fakes
import gevent


def events(first, last):
    return b"".join(fakes.event_bytes(n) for n in range(first, last + 1))


def resuming(script, *, last):
    """A script that runs another one, or resumes after a given event."""

    def resuming(sock, arrival):
        after = int(arrival.headers[b"after"] or 0)
        if after:
            resumed_script = fakes.streaming(after + 1, last)
            resumed_script(sock, arrival)
        else:
            script(sock, arrival)

    return resuming


def report(**rest):
    return dataclasses.replace(fakes.REPORT, orders=1, running=1, **rest)


def add_chains(front, first_scripts, other_scripts):
    """Adds two chains of one stage, in failure domains a and b."""
    first = front.add("a1", *first_scripts, service="model", layers=(0, 8))
    other = front.add(
        "b1",
        *other_scripts,
        service="model",
        layers=(0, 8),
        failure_domain="b",
    )
    return first, other


def add_stalled_chain(front, *, others, until):
    """Adds a chain a1, a2 that stalls after two events, and other stages.

    The third event is sent once `until` holds; a1 reports that a2 stalls.
    """

    def stalled(sock, arrival):
        while not until():
            gevent.sleep(0.01)
        data = fakes.event_bytes(3)
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    first = front.add(
        "a1",
        fakes.streaming(1, 2, after=stalled),
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
    stalled_by = front.state.fleet.get("a2").address
    engines = front.state.platform.engines
    engines.reports[first.address] = report(stalled={"r1": stalled_by})
    return first, engines


def refusing_with(rows, status=b"503 Full"):
    """A script that refuses a request with further header lines."""
    return fakes.responding(b"", status, b"not-run: 1\r\n" + rows)

"""Scripted chains of engines for tests of streams."""

import dataclasses

import front_fakes as fakes
import gevent


def events(first, last):
    return b"".join(fakes.event_bytes(n) for n in range(first, last + 1))


def send_events(sock, first, last):
    """Sends events of a stream that has begun."""
    for number in range(first, last + 1):
        data = fakes.event_bytes(number)
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def pausing(until, *, last, pause):
    """A script that sends events, pauses by a call, sends the rest and ends.

    A resumed stream pauses before its first event.
    """

    def script(sock, arrival):
        first = int(arrival.headers[b"after"] or 0) + 1
        begun = max(until, first - 1)

        def rest(sock, _):
            pause()
            send_events(sock, begun + 1, last)

        fakes.streaming(first, begun, after=rest)(sock, arrival)

    return script


def set_routes(front, **changes):
    """Changes all routes of the configuration in force."""
    known = front.state.known_configuration
    routes = tuple(
        dataclasses.replace(route, **changes)
        for route in known.configuration.routes
    )
    known.configuration = dataclasses.replace(
        known.configuration, routes=routes
    )


def empty_retry_budget(front):
    """Leaves the retry budget of the model service without a retry."""
    budget = front.state.retry_budget_for("model")
    budget.resize(rate_per_s=0.0, capacity=0.0)


def add_reports(front):
    """Lets all engines answer queries; none of them is at fault."""
    engines = front.state.platform.engines
    for server in front.state.fleet.servers:
        engines.reports[server.address] = report()


def decisions(front, name):
    """Returns the recorded decisions of one kind, oldest first."""
    return decisions_of(front.state.decisions, name)


def decisions_of(log, name):
    """Returns the decisions of one kind in a log, oldest first."""
    return [row for row in log.journal.latest(500) if row.decision == name]


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

    return add_mute_stages(
        front, fakes.streaming(1, 2, after=stalled), others=others
    )


def add_mute_stages(front, first_script, *, others):
    """Adds a chain a1, a2 and other stages, of which all but a1 are silent.

    The engine a1 reports that a2 stalls.
    """
    first = front.add("a1", first_script, service="model", layers=(0, 4))
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

"""The commands of the agent's program."""

import json
from typing import Any, ClassVar

from cleo import exceptions
from cleo import helpers
import geventhttpclient
import geventhttpclient.response
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade import logs
from dotterelgrade import settings_options
from dotterelgrade import stop_signal
from dotterelgrade_agent import agent as agent_lib
from dotterelgrade_agent import agent_settings

_DEFAULT_ADMIN_PORT = 7401
_HTTP_ACCEPTED = 202
_TIMEOUT_S = 5.0
_FAILURES = (OSError, ValueError, geventhttpclient.response.HTTPParseError)


class ServeCommand(settings_options.ServingCommand):
    """Runs the agent until it is told to stop."""

    name = "serve"
    description = "Run the agent until SIGTERM, which stops it gracefully."

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Serves entries, then finishes what is in flight."""
        loaded = self.load_settings(agent_settings.AgentSettings)
        if isinstance(loaded, result.Failure):
            return loaded
        return _serve(loaded.unwrap())


def _serve(
    settings: agent_settings.AgentSettings,
) -> result.Result[console.CommandResult, errors.Error]:
    logs.configure(process=settings.process.host, role="agent")
    asked = stop_signal.stop_requested()
    try:
        with agent_lib.running(settings) as agent:
            agent.departure.stopping.rawlink(lambda _: asked.set())
            asked.wait()
            if agent.drain():
                return _report("stopped, nothing was cut")
            return _refuse(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "stopped with work in flight, since draining took too long",
            )
    except OSError as error:
        process = settings.process
        return _refuse(
            errors.ErrorKind.SETTINGS_INVALID,
            f"cannot serve on {process.host} (another agent?): {error}",
        )


class DrainCommand(console.OperatorCommand):
    """Asks a running agent to finish its work and end."""

    name = "drain"
    description = "Stop a running agent gracefully."
    arguments: ClassVar[list[Any]] = [
        helpers.argument("address", "HOST or HOST:PORT of its admin address.")
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Posts the order to the agent's admin address."""
        host, _, port = self.argument("address").partition(":")
        if not host or (port and not port.isdecimal()):
            raise exceptions.CleoUserError("expected HOST or HOST:PORT")
        return _post_drain(host, int(port or _DEFAULT_ADMIN_PORT))


def _post_drain(
    host: str, port: int
) -> result.Result[console.CommandResult, errors.Error]:
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=_TIMEOUT_S, network_timeout=_TIMEOUT_S
    )
    try:
        response = client.post("/drain")
        data = json.loads(response.read())
        if response.status_code != _HTTP_ACCEPTED:
            return _refuse(
                errors.ErrorKind.PEER_UNREACHABLE,
                f"{host}:{port} answered {response.status_code}",
            )
        count = data["in_flight"]
        return _report(f"{host} is leaving, {count} in flight")
    except (*_FAILURES, KeyError, TypeError) as error:
        return _refuse(
            errors.ErrorKind.PEER_UNREACHABLE, f"{host}:{port}: {error!r}"
        )
    finally:
        client.close()


def _report(text: str) -> result.Success[console.CommandResult]:
    return result.Success(
        console.CommandResult(text=text, data={"message": text})
    )


def _refuse(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))

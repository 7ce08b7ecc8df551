"""The commands of the agent's program."""

import json
import pathlib
import signal
from typing import Any, ClassVar

from cleo import exceptions
from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
import gevent
from gevent import event
import geventhttpclient
import geventhttpclient.response
from returns import result

from dotterelgrade import errors
from dotterelgrade import logs
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import agent as agent_lib
from dotterelgrade_agent import agent_settings

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

_DEFAULT_ADMIN_PORT = 7401
_HTTP_ACCEPTED = 202
_TIMEOUT_S = 5.0
_FAILURES = (OSError, ValueError, geventhttpclient.response.HTTPParseError)

_JSON_OPTION = helpers.option("json", None, "Print the result as JSON.")


class AgentCommand(command.Command):
    """A command that prints what it did, as text or as JSON."""

    def perform(self) -> result.Result[str, errors.Error]:
        """Carries out the command.

        Returns:
            One sentence for a person, or why nothing was done.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Carries out the command and prints the result."""
        answer = self.perform()
        if isinstance(answer, result.Failure):
            error = answer.failure()
            self._print(
                f"{error.kind}: {error.message}",
                {"error": {"kind": error.kind, "message": error.message}},
                refused=True,
            )
            return EXIT_REFUSED
        self._print(answer.unwrap(), {"message": answer.unwrap()})
        return EXIT_DONE

    def _print(
        self, text: str, data: dict[str, Any], *, refused: bool = False
    ) -> None:
        if self.option("json"):
            self.io.write_line(json.dumps(data), type=output.Type.RAW)
        elif refused:
            self.io.write_error_line(text, type=output.Type.RAW)
        else:
            self.io.write_line(text, type=output.Type.RAW)


class ServeCommand(AgentCommand):
    """Runs the agent until it is told to stop."""

    name = "serve"
    description = "Run the agent until SIGTERM, which stops it gracefully."
    options: ClassVar[list[Any]] = [
        _JSON_OPTION,
        helpers.option("settings", "s", "Settings in JSON.", flag=False),
    ]

    def perform(self) -> result.Result[str, errors.Error]:
        """Serves entries, then finishes what is in flight."""
        path = self.option("settings")
        if not path:
            raise exceptions.CleoUserError("expected --settings FILE")
        loaded = settings_lib.load(
            pathlib.Path(path), agent_settings.AgentSettings
        )
        if isinstance(loaded, result.Failure):
            return loaded
        return _serve(loaded.unwrap())


def _serve(
    settings: agent_settings.AgentSettings,
) -> result.Result[str, errors.Error]:
    logs.configure(process=settings.process.host, role="agent")
    asked = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, asked.set)
    try:
        with agent_lib.running(settings) as agent:
            agent.departure.stopping.rawlink(lambda _: asked.set())
            asked.wait()
            if agent.drain():
                return result.Success("stopped, nothing was cut")
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


class DrainCommand(AgentCommand):
    """Asks a running agent to finish its work and end."""

    name = "drain"
    description = "Stop a running agent gracefully."
    arguments: ClassVar[list[Any]] = [
        helpers.argument("address", "HOST or HOST:PORT of its admin address.")
    ]
    options: ClassVar[list[Any]] = [_JSON_OPTION]

    def perform(self) -> result.Result[str, errors.Error]:
        """Posts the order to the agent's admin address."""
        host, _, port = self.argument("address").partition(":")
        if not host or (port and not port.isdecimal()):
            raise exceptions.CleoUserError("expected HOST or HOST:PORT")
        return _post_drain(host, int(port or _DEFAULT_ADMIN_PORT))


def _post_drain(host: str, port: int) -> result.Result[str, errors.Error]:
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
        return result.Success(f"{host} is leaving, {count} in flight")
    except (*_FAILURES, KeyError, TypeError) as error:
        return _refuse(
            errors.ErrorKind.PEER_UNREACHABLE, f"{host}:{port}: {error!r}"
        )
    finally:
        client.close()


def _refuse(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))

"""Registry of the subcommands of `python -m dotterelgrade_standins`."""

from collections.abc import Mapping
from typing import TypeVar

from cleo.commands import command as command_lib

_T = TypeVar("_T", bound=type[command_lib.Command])

_COMMANDS: dict[str, type[command_lib.Command]] = {}


def register(cls: _T) -> _T:
    """Registers a cleo command under its own name."""
    _COMMANDS[cls.name] = cls
    return cls


def registered() -> Mapping[str, type[command_lib.Command]]:
    """Returns the registered commands by name."""
    return dict(_COMMANDS)

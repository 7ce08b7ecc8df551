"""Command-line options for settings files."""

import json
import pathlib
from typing import Any, ClassVar, TypeVar

from cleo import exceptions
from cleo import helpers
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade import settings as settings_lib

_T = TypeVar("_T")


class ServingCommand(console.OperatorCommand):
    """A command that serves with a settings file until stopped."""

    options: ClassVar[list[Any]] = [
        *console.OperatorCommand.options,
        helpers.option("settings", "s", "Settings in JSON.", flag=False),
    ]

    def load_settings(self, cls: type[_T]) -> result.Result[_T, errors.Error]:
        """Reads the file that the option `--settings` names.

        Args:
            cls: The frozen data class to build.

        Returns:
            The settings, or SETTINGS_INVALID with every fault and its path.

        Raises:
            exceptions.CleoUserError: The option is missing.
        """
        path = self.option("settings")
        if not path:
            raise exceptions.CleoUserError("expected --settings FILE")
        return settings_lib.load(pathlib.Path(path), cls)


def settings_option() -> Any:
    """Returns the option that names a settings file."""
    return helpers.option(
        "settings",
        "s",
        'JSON file with a "platform" object, such as an entry\'s own.',
        flag=False,
    )


def read_platform_settings(
    path: str | None,
) -> result.Result[settings_lib.PlatformSettings, errors.Error]:
    """Reads the addresses of the platform's services.

    Args:
        path: A settings file; only its "platform" object is used.

    Returns:
        The validated addresses, or SETTINGS_INVALID.

    Raises:
        exceptions.CleoUserError: The option is missing.
    """
    if not path:
        raise exceptions.CleoUserError("expected --settings FILE")
    try:
        value = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return _invalid(f"cannot read {path}: {error}")
    if not isinstance(value, dict) or "platform" not in value:
        return _invalid(f'{path}: expected an object with "platform"')
    return settings_lib.structure(
        value["platform"], settings_lib.PlatformSettings
    )


def _invalid(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.SETTINGS_INVALID, message=message)
    )

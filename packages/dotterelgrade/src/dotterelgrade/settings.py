"""JSON settings files, validated into frozen data classes."""

import dataclasses
import enum
import ipaddress
import json
import pathlib
from typing import Any, TypeVar

import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen
from returns import result

from dotterelgrade import bounded
from dotterelgrade import errors
from dotterelgrade import listen_limits

_T = TypeVar("_T")

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Location of a process and its authentication to peers.

    Attributes:
        host: IP address of the process.
        peer_port: TCP port for peers.
        admin_port: TCP port of the admin server.
        failure_domain: Failure domain of the process.
        region: Region of the process.
        shared_key: Key shared by every process of the fleet.
        listen: Limits of the clients of the admin port, and of peers that
            have not shown yet that they know the key.
    """

    host: str
    peer_port: int = 7400
    admin_port: int = 7401
    failure_domain: str
    region: str = ""
    shared_key: str = dataclasses.field(repr=False)
    listen: listen_limits.ListenLimits = dataclasses.field(
        default_factory=listen_limits.ListenLimits
    )

    def __post_init__(self) -> None:
        """Validates what the types can't express."""
        ipaddress.ip_address(self.host)
        check_port(self.peer_port, name="peer_port")
        check_port(self.admin_port, name="admin_port")
        if len(self.shared_key) < 16:
            raise ValueError("shared_key: expected at least 16 characters")


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Addresses of the platform's services.

    Attributes:
        log_url: Base URL of the log service.
        hosts_url: URL of the host list.
        weights_url: Base URL of the weight store; empty for none.
        timeout_s: Time limit of one call, s.
    """

    log_url: str
    hosts_url: str
    weights_url: str = ""
    timeout_s: float = 2.0

    def __post_init__(self) -> None:
        """Validates what the types can't express."""
        for name in ("log_url", "hosts_url"):
            check_url(getattr(self, name), name=name)
        if self.timeout_s <= 0:
            raise ValueError("timeout_s: expected a positive number")


def check_port(value: int, *, name: str) -> None:
    """Raises ValueError unless the value is a TCP port or 0."""
    if not 0 <= value <= MAX_PORT:
        raise ValueError(f"{name}: expected a port from 0 to {MAX_PORT}")


def check_url(value: str, *, name: str) -> None:
    """Raises ValueError unless the value is an HTTP URL."""
    if not value.startswith(("http://", "https://")):
        raise ValueError(f"{name}: expected a URL with http:// or https://")


def _strict(kinds: tuple[type, ...], expected: str) -> Any:
    def structure(value: Any, kind: Any) -> Any:
        if issubclass(kind, enum.Enum):
            # The converter also selects this hook for string enumerations.
            return kind(value)
        if isinstance(value, bool) and bool not in kinds:
            raise TypeError(f"expected {expected}, got a boolean")
        if not isinstance(value, kinds):
            raise TypeError(f"expected {expected}, got {value!r}")
        if float in kinds and not abs(value) <= bounded.MAX_AMOUNT:
            raise ValueError(f"expected at most {bounded.MAX_AMOUNT:g}")
        return value

    return structure


def _object_hook(cls: type, converter: cattrs.Converter) -> Any:
    structure_object = gen.make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True
    )

    def structure(value: Any, kind: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"expected an object, got {value!r}")
        return structure_object(value, kind)

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _strict((int,), "a whole number"))
    converter.register_structure_hook(float, _strict((int, float), "a number"))
    converter.register_structure_hook(str, _strict((str,), "a string"))
    converter.register_structure_hook(bool, _strict((bool,), "true or false"))
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass, lambda cls: _object_hook(cls, converter)
    )
    return converter


_CONVERTER = _make_converter()


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        keys = ", ".join(sorted(error.extra_fields))
        return f"unknown keys: {keys}"
    if isinstance(error, KeyError):
        return f"required key is missing: {error.args[0]}"
    return str(error) or repr(error)


def structure(value: Any, cls: type[_T]) -> result.Result[_T, errors.Error]:
    """Validates a JSON value and converts it to a settings class.

    Args:
        value: The decoded JSON value.
        cls: The frozen data class to build.

    Returns:
        The settings, or SETTINGS_INVALID with every fault and its path.
    """
    try:
        return result.Success(_CONVERTER.structure(value, cls))
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = cattrs.transform_error(error, format_exception=_describe)
        return result.Failure(
            errors.Error(
                kind=errors.ErrorKind.SETTINGS_INVALID,
                message="; ".join(faults),
            )
        )


def load(path: pathlib.Path, cls: type[_T]) -> result.Result[_T, errors.Error]:
    """Reads a settings file.

    Args:
        path: The JSON file.
        cls: The frozen data class to build.

    Returns:
        The settings, or SETTINGS_INVALID with every fault and its path.
    """
    try:
        value = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return result.Failure(
            errors.Error(
                kind=errors.ErrorKind.SETTINGS_INVALID,
                message=f"cannot read settings: {error}",
            )
        )
    return structure(value, cls)

"""A deployment: its processes, their parts, the links between them."""

import dataclasses
import json
import pathlib
from typing import Any

from returns import result

from dotterelgrade import errors
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import parts as parts_lib
from dotterelgrade_standins import shaper as shaper_lib

LINKS_FILE = "links.json"
DEPLOYMENT_FILE = "deployment.json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessPlan:
    """One operating-system process.

    Attributes:
        name: Name of the process.
        parts: What it runs, in the order of their start.
    """

    name: str
    parts: tuple[parts_lib.Part, ...]

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the parts listen on."""
        return tuple(a for part in self.parts for a in part.addresses)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Everything that is started for a demo or an experiment.

    Attributes:
        processes: The processes, in the order of their start.
        links: Links between failure domains.
    """

    processes: tuple[ProcessPlan, ...]
    links: tuple[shaper_lib.LinkSettings, ...] = ()

    def process(self, name: str) -> ProcessPlan:
        """Returns a process by name.

        Raises:
            KeyError: There is none of that name.
        """
        for plan in self.processes:
            if plan.name == name:
                return plan
        raise KeyError(name)


def write(deployment: Deployment, directory: pathlib.Path) -> None:
    """Writes the deployment's files into a directory."""
    value = {
        plan.name: [_part_to_json(part) for part in plan.parts]
        for plan in deployment.processes
    }
    path = directory / DEPLOYMENT_FILE
    path.write_text(json.dumps(value, indent=1), encoding="utf-8")
    write_links(deployment.links, directory)


def write_links(
    links: tuple[shaper_lib.LinkSettings, ...], directory: pathlib.Path
) -> None:
    """Writes the links alone; processes read them again on SIGHUP."""
    value = [dataclasses.asdict(link) for link in links]
    path = directory / LINKS_FILE
    path.write_text(json.dumps(value, indent=1), encoding="utf-8")


def _part_to_json(part: Any) -> dict[str, Any]:
    return {"kind": part.kind, **dataclasses.asdict(part)}


def read_process(
    directory: pathlib.Path, name: str
) -> result.Result[ProcessPlan, errors.Error]:
    """Reads one process of a deployment's files.

    Returns:
        The process, or SETTINGS_INVALID with every fault and its path.
    """
    try:
        text = (directory / DEPLOYMENT_FILE).read_text(encoding="utf-8")
        values = json.loads(text)[name]
        classes = [parts_lib.kinds()[value.pop("kind")] for value in values]
    except (OSError, ValueError, KeyError, TypeError) as error:
        return result.Failure(
            errors.Error(
                kind=errors.ErrorKind.SETTINGS_INVALID,
                message=f"{directory}, process {name}: {error!r}",
            )
        )
    found: list[parts_lib.Part] = []
    for cls, value in zip(classes, values, strict=True):
        outcome = settings_lib.structure(value, cls)
        if not isinstance(outcome, result.Success):
            return outcome
        found.append(outcome.unwrap())
    return result.Success(ProcessPlan(name=name, parts=tuple(found)))


def read_links(
    directory: pathlib.Path,
) -> result.Result[tuple[shaper_lib.LinkSettings, ...], errors.Error]:
    """Reads the links of a deployment's files."""
    return settings_lib.load(
        directory / LINKS_FILE, tuple[shaper_lib.LinkSettings, ...]
    )

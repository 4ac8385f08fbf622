"""The platform's settings file, read into our own names."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from pydantic import BaseModel, ValidationError

from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.errors import InvalidSettingsError

# The deploy file names the same port.
METRICS_PORT = 9464
SETTINGS_VARIABLE = 'MULBERRYHITCH_BOOT'


class _Bounds(BaseModel):
    hold_max_ms: int = 10_000
    grace_s: float = 6
    status_s: float = 120


class _Tolerance(BaseModel):
    machines: int = 1
    zones: int = 1


class _Listening(BaseModel):
    frontend: str = ''
    readiness: str = ''
    control: str = ''


class _SettingsFile(BaseModel):
    node_name: str
    serves: list[str] = []
    ip: str
    zone: str
    listen_addrs: _Listening
    internal_ports: tuple[int, int]
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str | None = None
    fault_tolerance: _Tolerance = _Tolerance()
    bounds: _Bounds = _Bounds()
    advice: str | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What one process is told at its start.

    Attributes:
        vm: Its IP number, by which the other processes know it.
        callers_address: Where callers' connections come in; may be empty.
        ready_address: Where the platform asks for readiness; may be empty.
        control_address: Where workers and operators call; may be empty.
        port: The first port that is free for our own use.
        seed_vms: VMs that run schedulers, as known when it was written.
        first_start: The whole system starts for the first time.
        data_folder: Empty where there is no disk.
        voters: How many schedulers decide together.
        permit_address: The permit service; may be empty.
        maximum_lease_seconds: The longest lease that a worker grants.
        drain_seconds: How long a stop may take.
        retain_seconds: How long an ended job must be known.
        metrics_address: Where the process serves its own figures.
        source: The file, which may change; nothing if there is none.
    """

    name: str
    vm: str
    data_centre: str
    callers_address: str
    ready_address: str
    control_address: str
    port: int
    seed_vms: tuple[str, ...]
    first_start: bool
    data_folder: str
    voters: int
    permit_address: str
    maximum_lease_seconds: float
    drain_seconds: float
    retain_seconds: float
    metrics_address: str
    source: Path | None = None


def load_platform_settings(path: Path | None = None) -> PlatformSettings:
    """Reads the settings file.

    Args:
        path: Where it is; by default where the environment says.

    Raises:
        InvalidSettingsError: It can't be read or used.
    """
    where = path or Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        content: Any = orjson.loads(where.read_bytes())
        read = _SettingsFile.model_validate(content)
    except (OSError, ValueError, ValidationError) as error:
        raise InvalidSettingsError(str(error), where=str(where)) from error
    lost = max(read.fault_tolerance.machines, read.fault_tolerance.zones)
    return PlatformSettings(
        read.node_name,
        read.ip,
        read.zone,
        read.listen_addrs.frontend,
        read.listen_addrs.readiness,
        read.listen_addrs.control,
        read.internal_ports[0],
        tuple(one.partition(':')[0] for one in read.seeds),
        read.bootstrap,
        read.data_dir or '',
        2 * lost + 1,
        read.advice or '',
        read.bounds.hold_max_ms / MILLISECONDS_PER_SECOND,
        read.bounds.grace_s,
        read.bounds.status_s,
        f'{read.ip}:{METRICS_PORT}',
        where,
    )

"""Settings of a process, parsed from the platform's settings file."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from pydantic import BaseModel, ValidationError

from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.errors import InvalidSettingsError

# Must match the port in the deploy file.
METRICS_PORT = 9464
_BYTES_PER_MEGABYTE = 1_000_000
SETTINGS_VARIABLE = 'MULBERRYHITCH_BOOT'


class _Bounds(BaseModel):
    hold_max_ms: int = 10_000
    grace_s: float = 6
    status_s: float = 120


class _FaultTolerance(BaseModel):
    machines: int = 1
    zones: int = 1


class _ListenAddresses(BaseModel):
    frontend: str = ''
    readiness: str = ''
    control: str = ''


class _ProcessLimits(BaseModel):
    memory_mb: float = 0
    disk_mb: float = 0


class _SettingsFile(BaseModel):
    node_name: str
    serves: list[str] = []
    ip: str
    zone: str
    listen_addrs: _ListenAddresses
    internal_ports: tuple[int, int]
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str | None = None
    fault_tolerance: _FaultTolerance = _FaultTolerance()
    bounds: _Bounds = _Bounds()
    limits: _ProcessLimits = _ProcessLimits()
    advice: str | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process.

    Attributes:
        vm: IP address by which other processes identify this one.
        frontend_address: Listen address for clients; may be empty.
        readiness_address: Listen address for readiness probes; may be empty.
        control_address: Listen address for workers and operators; may be
            empty.
        first_port: First of the ports reserved for internal use.
        seed_vms: VMs that ran schedulers when the file was written.
        first_start: Whether the whole system starts for the first time.
        data_folder: Empty if there is no disk.
        target_voters: Number of voting schedulers in a complete group.
        permit_address: Address of the permit service; may be empty.
        maximum_lease_seconds: Longest lease that a worker grants.
        drain_seconds: Maximum duration of a shutdown.
        retain_seconds: How long the state of an ended job must be kept.
        metrics_address: Listen address of the metrics endpoint.
        memory_bytes: Limit of the process's memory; zero if unknown.
        disk_bytes: Size of the disk; zero if unknown.
        source: The settings file, which may change; ``None`` if there is none.
    """

    name: str
    vm: str
    data_centre: str
    frontend_address: str
    readiness_address: str
    control_address: str
    first_port: int
    seed_vms: tuple[str, ...]
    first_start: bool
    data_folder: str
    target_voters: int
    permit_address: str
    maximum_lease_seconds: float
    drain_seconds: float
    retain_seconds: float
    metrics_address: str
    memory_bytes: int = 0
    disk_bytes: int = 0
    source: Path | None = None


def load_platform_settings(path: Path | None = None) -> PlatformSettings:
    """Loads the settings file.

    Args:
        path: The file; by default the environment variable
            ``MULBERRYHITCH_BOOT`` names it.

    Raises:
        InvalidSettingsError: The file can't be read or is invalid.
    """
    settings_path = path or Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        content: Any = orjson.loads(settings_path.read_bytes())
        parsed = _SettingsFile.model_validate(content)
    except (OSError, ValueError, ValidationError) as error:
        raise InvalidSettingsError(
            str(error), where=str(settings_path)
        ) from error
    tolerated_failures = max(
        parsed.fault_tolerance.machines, parsed.fault_tolerance.zones
    )
    return PlatformSettings(
        parsed.node_name,
        parsed.ip,
        parsed.zone,
        parsed.listen_addrs.frontend,
        parsed.listen_addrs.readiness,
        parsed.listen_addrs.control,
        parsed.internal_ports[0],
        tuple(seed.partition(':')[0] for seed in parsed.seeds),
        parsed.bootstrap,
        parsed.data_dir or '',
        2 * tolerated_failures + 1,
        parsed.advice or '',
        parsed.bounds.hold_max_ms / MILLISECONDS_PER_SECOND,
        parsed.bounds.grace_s,
        parsed.bounds.status_s,
        f'{parsed.ip}:{METRICS_PORT}',
        round(parsed.limits.memory_mb * _BYTES_PER_MEGABYTE),
        round(parsed.limits.disk_mb * _BYTES_PER_MEGABYTE),
        settings_path,
    )

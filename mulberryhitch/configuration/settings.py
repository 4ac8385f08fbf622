"""Process settings: a base file and an overlay for each data centre."""

from pathlib import Path

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    ValidationError,
)

from mulberryhitch.configuration.models import CellDocument
from mulberryhitch.configuration.overlays import json_pointer, merge, parse_json
from mulberryhitch.constants import DRAIN_SECONDS
from mulberryhitch.errors import InvalidInputError, InvalidSettingsError

_PORT_LIMIT = 65_536
_MAX_VOTERS = 3


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class VmSettings(_Model):
    """The settings of one VM of the cluster.

    Attributes:
        disk: Whether the VM stores replicas of logs.
        http_port: Overrides the cell's port, as the other ports do.
    """

    address: IPvAnyAddress
    disk: bool = False
    http_port: int | None = Field(default=None, gt=0, lt=_PORT_LIMIT)
    entry_port: int | None = Field(default=None, gt=0, lt=_PORT_LIMIT)
    scheduler_port: int | None = Field(default=None, gt=0, lt=_PORT_LIMIT)


class DataCentreSettings(_Model):
    """The VMs of one data centre, by name."""

    vms: dict[str, VmSettings] = Field(min_length=1)


class StatsdSettings(_Model):
    """The StatsD server that receives metrics."""

    address: IPvAnyAddress
    port: int = Field(default=8125, gt=0, lt=_PORT_LIMIT)


class TlsSettings(_Model):
    """TLS files; they are reloaded when they change.

    Attributes:
        authority: CA certificates that peers' certificates must chain to.
        callers: Whether the HTTP API also uses TLS.
    """

    certificate: str
    key: str
    authority: str
    callers: bool = False


class Settings(_Model):
    """The settings that a process reads at start."""

    cell: str = 'cell'
    data_centres: dict[str, DataCentreSettings] = Field(min_length=1)
    http_port: int = Field(default=8700, gt=0, lt=_PORT_LIMIT)
    entry_port: int = Field(default=8701, gt=0, lt=_PORT_LIMIT)
    scheduler_port: int = Field(default=8702, gt=0, lt=_PORT_LIMIT)
    data_folder: str = 'data'
    statsd: StatsdSettings | None = None
    tls: TlsSettings | None = None
    worker_token: str = ''
    drain_seconds: float = Field(default=DRAIN_SECONDS, ge=0)
    configuration: CellDocument = Field(default_factory=CellDocument)

    @property
    def data_centre_names(self) -> list[str]:
        """Names of all data centres, in file order."""
        return list(self.data_centres)

    def vm(self, name: str) -> VmSettings:
        """Returns the settings of one VM.

        Raises:
            InvalidSettingsError: There is no such VM.
        """
        for data_centre in self.data_centres.values():
            if name in data_centre.vms:
                return data_centre.vms[name]
        raise InvalidSettingsError(f'no VM named {name}', where='data_centres')

    def data_centre_of(self, vm: str) -> str:
        """Returns the data centre of a VM.

        Raises:
            InvalidSettingsError: There is no such VM.
        """
        for name, data_centre in self.data_centres.items():
            if vm in data_centre.vms:
                return name
        raise InvalidSettingsError(f'no VM named {vm}', where='data_centres')

    def vm_names(self) -> list[str]:
        """Returns the names of all VMs, grouped by data centre."""
        return [
            vm
            for data_centre in self.data_centres.values()
            for vm in data_centre.vms
        ]

    def disk_vms(self, data_centre: str) -> list[str]:
        """Returns the VMs of a data centre that store replicas."""
        vms = self.data_centres[data_centre].vms
        return [name for name, vm in vms.items() if vm.disk]

    def cell_voters(self) -> tuple[str, ...]:
        """Returns the initial voters of the cell's log.

        The first disk VM of each data centre, without the last one if
        their number would be even.
        """
        first_vms = [
            self.disk_vms(name)[0]
            for name in self.data_centres
            if self.disk_vms(name)
        ]
        return tuple(first_vms[: (len(first_vms) - 1) // 2 * 2 + 1])

    def data_centre_voters(self, data_centre: str) -> tuple[str, ...]:
        """Returns the initial voters of a data centre's log.

        Up to three of its own disk VMs. If it has two, the next data centre
        with a disk VM adds a third; without one, only the first votes.
        """
        own_vms = self.disk_vms(data_centre)[:_MAX_VOTERS]
        if len(own_vms) != 2:
            return tuple(own_vms[:1] if len(own_vms) < 2 else own_vms)
        names = self.data_centre_names
        start = names.index(data_centre)
        for other in names[start + 1 :] + names[:start]:
            if self.disk_vms(other):
                return (*own_vms, self.disk_vms(other)[0])
        return tuple(own_vms[:1])


def load_settings(folder: Path, data_centre: str = '') -> Settings:
    """Reads ``base.json`` and the overlay ``DATA_CENTRE.json`` of a folder.

    Raises:
        InvalidSettingsError: A file is missing or invalid, or the data
            centre is not in the settings.
    """
    base_path = folder / 'base.json'
    document = _read(base_path)
    source = str(base_path)
    overlay_path = folder / f'{data_centre}.json'
    if data_centre and overlay_path.exists():
        document = merge(document, _read(overlay_path))
        source = f'{base_path} with {overlay_path.name}'
    try:
        settings = Settings.model_validate(document)
        settings.configuration.check(settings.data_centre_names)
    except ValidationError as error:
        first = error.errors()[0]
        raise InvalidSettingsError(
            first['msg'], where=f'{source}: {json_pointer(first["loc"])}'
        ) from error
    except InvalidInputError as invalid:
        raise InvalidSettingsError(
            invalid.what, where=f'{source}: {invalid.where}'
        ) from invalid
    if data_centre and data_centre not in settings.data_centres:
        raise InvalidSettingsError(
            f'no data centre named {data_centre}', where=source
        )
    return settings


def _read(path: Path) -> object:
    try:
        text = path.read_bytes()
    except OSError as error:
        raise InvalidSettingsError(str(error), where=str(path)) from error
    try:
        document: object = parse_json(text, str(path))
    except InvalidInputError as invalid:
        raise InvalidSettingsError(
            invalid.what, where=invalid.where
        ) from invalid
    return document

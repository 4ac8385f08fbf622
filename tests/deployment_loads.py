"""Loads like those of the deployments of `docs/SCARCE-CAPACITY.md`.

Sizes, rates, classes, checkpoints and worker counts are those of the page. Its
permits are not known; the times of the loads before are used.
"""

from dataclasses import replace

from mulberryhitch.jobs.model import PermitPolicy, Queue, Tenant
from tests.load_jobs import (
    Amount,
    Burst,
    Load,
    LoadClass,
    LoadTenant,
    Swing,
)

WORKERS = 176
FLOOD_TENANT = 'tenant-3'
FLOOD_FACTOR = 7.0

_GANG_PERMITS = PermitPolicy(0.494, 0.00715, 2)
_BATCH_PERMITS = PermitPolicy(0.182, 0.0026, 2)
_URGENT_PERMITS = PermitPolicy(0.026, 0.000364, 2)
_TENANTS = 20
_LARGE_TENANTS = 4
_LARGE_DEMAND = 5


def make_tills(
    workers: int = WORKERS, seconds: float = 30, share: float = 1
) -> Load:
    """Returns a load like that of deployment A, with its bursts."""
    scale = share * workers / WORKERS
    return Load(
        'tills',
        workers,
        16,
        65_536,
        max(8, workers * 3 // 8),
        (
            LoadClass(
                _queue('rebuild', 1, 2.2, 1.0, _GANG_PERMITS),
                1.77 * scale,
                Amount(5, 0.5, 12),
                Amount(20, 0.8, 120),
                Amount(4_500, 0.4, 8_000),
                Amount(6_000, 0.5, 16_000),
                second_step=0.2,
                gang=1,
                checkpointing=0.5,
                failing=0.002,
                estimate_error=0.9,
                uneven=0,
                permitted=0.3,
                worth=13,
            ),
            LoadClass(
                _queue('reconcile', 2, 4, 3.0, _BATCH_PERMITS),
                6.38 * scale,
                Amount(2.7, 0.5, 7),
                Amount(25, 0.6, 120),
                Amount(1_700, 0.45, 5_000),
                Amount(3_000, 0.6, 12_000),
                second_step=0.5,
                checkpointing=0.8,
                estimate_error=0.5,
                uneven=0.15,
                permitted=0.45,
                worth=3.9,
            ),
            LoadClass(
                _queue('lookup', 0, 1.5, 0.3, _URGENT_PERMITS),
                51.6 * scale,
                Amount(0.64, 0.5, 1.6),
                Amount(3, 0.8, 19),
                Amount(2_500, 0.45, 7_500),
                Amount(5_000, 0.6, 20_000),
                gang=0.3,
                estimate_error=0.2,
                uneven=0.3,
                permitted=0.7,
                worth=0.391,
            ),
        ),
        (
            Burst('lookup', 5, 4, 2.5),
            Burst('reconcile', 4, 5, 2.0),
            Burst('rebuild', 15, 4, 1.6),
        ),
        seconds,
        tenants=_make_tenants(),
        swing=Swing(0.27, 11),
        rack_size=20,
        speeds=(1.0, 1.0, 1.3),
        checkpoint_seconds=2.0,
        restore_seconds=0.25,
    )


def make_flooded_tills(
    workers: int = WORKERS, seconds: float = 30, share: float = 1
) -> Load:
    """Returns the same load with one tenant at 7 times its usual demand."""
    load = make_tills(workers, seconds, share)
    flood = Burst(
        '', seconds / 4, seconds / 2, FLOOD_FACTOR, tenant=FLOOD_TENANT
    )
    return replace(load, name='flood', bursts=(*load.bursts, flood))


def make_inverters(
    workers: int = WORKERS, seconds: float = 30, share: float = 1
) -> Load:
    """Returns a load like that of deployment B, with its bursts."""
    scale = share * workers / WORKERS
    return Load(
        'inverters',
        workers,
        64,
        262_144,
        max(8, workers * 3 // 8),
        (
            LoadClass(
                _queue('rebuild', 1, 2.2, 1.0, _GANG_PERMITS),
                1.68 * scale,
                Amount(5.3, 0.5, 13),
                Amount(20, 0.8, 120),
                Amount(18_000, 0.4, 32_000),
                Amount(20_000, 0.5, 60_000),
                second_step=0.2,
                gang=1,
                checkpointing=0.5,
                failing=0.002,
                estimate_error=0.9,
                uneven=0,
                permitted=0.3,
                worth=16.3,
            ),
            LoadClass(
                _queue('recon', 2, 4, 3.0, _BATCH_PERMITS),
                5.43 * scale,
                Amount(1.9, 0.5, 5),
                Amount(25, 0.6, 120),
                Amount(6_900, 0.45, 20_000),
                Amount(12_000, 0.6, 48_000),
                second_step=0.5,
                checkpointing=0.8,
                estimate_error=0.5,
                uneven=0.15,
                permitted=0.45,
                worth=3.14,
            ),
            LoadClass(
                _queue('diag', 0, 1.5, 0.25, _URGENT_PERMITS),
                60.5 * scale,
                Amount(0.54, 0.5, 1.4),
                Amount(3, 0.8, 19),
                Amount(9_900, 0.45, 30_000),
                Amount(20_000, 0.6, 80_000),
                gang=0.3,
                estimate_error=0.2,
                uneven=0.3,
                permitted=0.7,
                worth=0.394,
            ),
        ),
        (
            Burst('diag', 5, 4, 1.9),
            Burst('recon', 4, 5, 1.8),
            Burst('rebuild', 15, 4, 1.6),
        ),
        seconds,
        swing=Swing(0.55, 15),
        rack_size=8,
        speeds=(0.55, 1.2, 1.2, 1.2),
        checkpoint_seconds=1.0,
        restore_seconds=0.6,
    )


LOADS = {
    'tills': make_tills,
    'flood': make_flooded_tills,
    'inverters': make_inverters,
}


def _queue(
    name: str,
    urgency: int,
    stretch: float,
    target_seconds: float,
    permits: PermitPolicy,
) -> Queue:
    return Queue(
        name,
        'h',
        f'/{name}/',
        'svc',
        urgency,
        4,
        stretch,
        target_seconds,
        permits,
    )


def _make_tenants() -> tuple[LoadTenant, ...]:
    """Returns twenty tenants, a few of them large; weights follow demand.

    The tenant that floods is one of the small ones.
    """
    demands = [_LARGE_DEMAND] * _LARGE_TENANTS
    demands += [1] * (_TENANTS - _LARGE_TENANTS)
    return tuple(
        LoadTenant(
            Tenant(f'tenant-{(number + 5) % _TENANTS}', weight=demand), demand
        )
        for number, demand in enumerate(demands)
    )

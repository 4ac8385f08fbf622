"""Random steps and caps: no cap is exceeded, and no step waits for ever."""

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.placement.tenant_caps import TenantCaps
from mulberryhitch.jobs.model import JobSpec, Queue, Resources, Step, Tenant
from mulberryhitch.jobs.state import Job, create_step_executions

QUEUE = Queue('q', 'h', '/q/', 'svc')
# Each of the steps behind those considered has had a turn by then.
MAX_ROUNDS = 2000

Row = tuple[str, int, bool, int, int]
ROWS = st.lists(
    st.tuples(
        st.sampled_from(('', 'mill', 'baker')),
        st.integers(1, 6),
        st.booleans(),
        st.integers(0, 9),
        st.integers(0, 9),
    ),
    max_size=25,
)
CAPS = st.tuples(st.integers(0, 20), st.integers(0, 20))


@dataclass
class FakeStore:
    """What tenants may use and do use."""

    tenants: dict[str, Tenant]
    usage: dict[str, Resources] = field(default_factory=dict)

    def tenant(self, name: str) -> Tenant | None:
        return self.tenants.get(name)

    def tenant_usage(self, name: str) -> Resources:
        return self.usage.get(name, Resources())

    def lasting_usage(self, name: str) -> Resources:
        return Resources()


def make_steps(rows: list[Row]) -> list[WaitingStep]:
    steps = []
    for number, (tenant, count, gang, processors, memory) in enumerate(rows):
        spec = JobSpec('', (Step(count, processors, memory, gang=gang),))
        job = Job(f'j{number}', QUEUE, spec, 0, tenant=tenant)
        execution = create_step_executions(job.job_id, 0, spec)[0]
        execution.waiting_units = {
            unit.first_index: unit for unit in execution.units
        }
        steps.append(WaitingStep(execution, job, QUEUE, (number,), None))
    return steps


def start(store: FakeStore, caps: TenantCaps, waiting: WaitingStep) -> None:
    """Starts the tasks of a step, and checks the cap at each of them."""
    tenant = store.tenants.get(waiting.job.tenant)
    step = waiting.execution.step
    together = step.count if step.gang else 1
    for _ in range(waiting.tasks_left // together):
        before = store.tenant_usage(waiting.job.tenant)
        after = before.plus(step.resources.times(together))
        if tenant is not None:
            exceeds = [
                (one, new, limit)
                for one, new, limit in zip(
                    before, after, tenant.cap, strict=True
                )
                if limit and new > limit
            ]
            alone = all(
                2 * one < limit
                for one, limit in zip(before, tenant.cap, strict=True)
                if limit
            )
            assert not exceeds or (together == 1 and alone)
        store.usage[waiting.job.tenant] = after
        for _ in range(together):
            caps.record_start(waiting)
        waiting.execution.waiting_units.popitem()


def is_wide(store: FakeStore, waiting: WaitingStep) -> bool:
    """Whether a gang is wider than its tenant's cap."""
    tenant = store.tenants.get(waiting.job.tenant)
    step = waiting.execution.step
    if tenant is None or not step.gang or step.count == 1:
        return False
    need = step.resources.times(step.count)
    return any(
        limit and part > limit
        for part, limit in zip(need, tenant.cap, strict=True)
    )


@settings(max_examples=150, derandomize=True, deadline=None)
@given(rows=ROWS, mill=CAPS, baker=CAPS, kept=st.integers(0, 3))
def test_caps_hold_and_starve_nothing(
    rows: list[Row],
    mill: tuple[int, int],
    baker: tuple[int, int],
    kept: int,
) -> None:
    """Guards against starts over a cap, and steps that have no turn."""
    store = FakeStore(
        {
            'mill': Tenant('mill', (), 1, *mill),
            'baker': Tenant('baker', (), 1, *baker),
        }
    )
    steps = make_steps(rows)
    for number in range(MAX_ROUNDS):
        # Some rounds begin while what the last one started is running.
        if number % (kept + 1) == 0:
            store.usage.clear()
        caps = TenantCaps(store, {}, number)  # type: ignore[arg-type]
        split = caps.select(steps, lambda waiting: False)
        assert len(split.selected) + len(split.held_back) == len(steps)
        for selected in split.selected:
            waiting = caps.limited(selected)
            if waiting is not None:
                start(store, caps, waiting)
        steps = [one for one in steps if one.execution.waiting_units]
        if all(is_wide(store, one) for one in steps):
            return
    raise AssertionError(f'never started: {steps}')

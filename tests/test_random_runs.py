"""Hypothesis state machines: random faults, with all invariants asserted."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.groups import run_at_once
from tests.scripts import (
    CENTRE_ACTIONS,
    ENTRY_ACTIONS,
    GROUP_ACTIONS,
    CentrePlayer,
    EntryPlayer,
    GroupPlayer,
    Step,
)

SETTINGS = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
SECONDS = st.sampled_from((0.05, 0.3, 1.0, 3.0))


def fault_steps(actions: tuple[str, ...]) -> st.SearchStrategy[Step]:
    return st.builds(Step, st.sampled_from(actions), st.integers(0, 7), SECONDS)


class ThreeReplicas(RuleBasedStateMachine):
    """Gathers faults; at the end they are played on a mocked clock."""

    size = 3

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[Step] = []

    @rule(step=fault_steps(GROUP_ACTIONS))
    def add_step(self, step: Step) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        run_at_once(GroupPlayer(self.size, seed=1).play, self.steps)


class FiveReplicas(ThreeReplicas):
    """The same with five."""

    size = 5


class DataCentreRuns(RuleBasedStateMachine):
    """Gathers faults of VMs, workers and the network between."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[Step] = []

    @rule(step=fault_steps(CENTRE_ACTIONS))
    def add_step(self, step: Step) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        run_at_once(CentrePlayer(seed=1).play, self.steps)


class RequestRuns(RuleBasedStateMachine):
    """Gathers faults of entries, backend servers and the network."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[Step] = []

    @rule(step=fault_steps(ENTRY_ACTIONS))
    def add_step(self, step: Step) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        run_at_once(EntryPlayer(seed=1).play, self.steps)


TestThreeReplicas = ThreeReplicas.TestCase
TestThreeReplicas.settings = SETTINGS
TestFiveReplicas = FiveReplicas.TestCase
TestFiveReplicas.settings = SETTINGS
TestDataCentreRuns = DataCentreRuns.TestCase
TestDataCentreRuns.settings = SETTINGS
TestRequestRuns = RequestRuns.TestCase
TestRequestRuns.settings = SETTINGS

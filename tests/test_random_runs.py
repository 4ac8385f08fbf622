"""Hypothesis state machines that inject faults and assert invariants."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.fault_scripts import (
    DATA_CENTRE_ACTIONS,
    ENTRY_ACTIONS,
    GROUP_ACTIONS,
    DataCentrePlayer,
    EntryPlayer,
    GroupPlayer,
    ScriptStep,
)
from tests.replica_group import run_with_mock_clock

SETTINGS = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
SECONDS = st.sampled_from((0.05, 0.3, 1.0, 3.0))


def fault_steps(actions: tuple[str, ...]) -> st.SearchStrategy[ScriptStep]:
    return st.builds(
        ScriptStep, st.sampled_from(actions), st.integers(0, 7), SECONDS
    )


class ThreeReplicas(RuleBasedStateMachine):
    """Collects faults and plays them on a mock clock in ``teardown``."""

    size = 3

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[ScriptStep] = []

    @rule(step=fault_steps(GROUP_ACTIONS))
    def add_step(self, step: ScriptStep) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        run_with_mock_clock(GroupPlayer(self.size, seed=1).play, self.steps)


class FiveReplicas(ThreeReplicas):
    """The same with five replicas."""

    size = 5


class DataCentreRuns(RuleBasedStateMachine):
    """Gathers faults of VMs, workers and the network between."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[ScriptStep] = []

    @rule(step=fault_steps(DATA_CENTRE_ACTIONS))
    def add_step(self, step: ScriptStep) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        run_with_mock_clock(DataCentrePlayer(seed=1).play, self.steps)


class RequestRuns(RuleBasedStateMachine):
    """Collects faults of entries, backend servers and the network."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[ScriptStep] = []

    @rule(step=fault_steps(ENTRY_ACTIONS))
    def add_step(self, step: ScriptStep) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        run_with_mock_clock(EntryPlayer(seed=1).play, self.steps)


TestThreeReplicas = ThreeReplicas.TestCase
TestThreeReplicas.settings = SETTINGS
TestFiveReplicas = FiveReplicas.TestCase
TestFiveReplicas.settings = SETTINGS
TestDataCentreRuns = DataCentreRuns.TestCase
TestDataCentreRuns.settings = SETTINGS
TestRequestRuns = RequestRuns.TestCase
TestRequestRuns.settings = SETTINGS

"""A script of faults in which gangs are stopped and granted again."""

from tests.fault_scripts import ScriptStep

SEED = 1
STEPS = (
    ScriptStep('submit_gang', 1, 3.0),
    ScriptStep('slow', 5, 1.0),
    ScriptStep('isolate', 2, 1.0),
    ScriptStep('duplicate', 5, 0.05),
    ScriptStep('isolate', 6, 3.0),
    ScriptStep('heal', 1, 0.3),
    ScriptStep('submit_gang', 6, 0.05),
    ScriptStep('cut_worker', 0, 0.05),
    ScriptStep('kill', 2, 1.0),
    ScriptStep('kill', 6, 3.0),
    ScriptStep('kill', 4, 1.0),
    ScriptStep('cut_worker', 3, 0.3),
    ScriptStep('restart_worker', 0, 0.3),
    ScriptStep('submit_gang', 1, 1.0),
    ScriptStep('duplicate', 6, 3.0),
    ScriptStep('kill_worker', 2, 0.05),
    ScriptStep('restart_worker', 2, 3.0),
    ScriptStep('isolate', 1, 1.0),
    ScriptStep('cut_worker', 7, 1.0),
    ScriptStep('duplicate', 7, 3.0),
    ScriptStep('heal', 1, 1.0),
    ScriptStep('kill_worker', 1, 0.3),
    ScriptStep('slow', 2, 0.3),
    ScriptStep('kill_worker', 1, 1.0),
    ScriptStep('lossy', 0, 0.3),
    ScriptStep('isolate', 7, 0.05),
    ScriptStep('cut_worker', 7, 0.3),
    ScriptStep('cancel', 2, 0.3),
    ScriptStep('submit_gang', 6, 0.3),
    ScriptStep('cancel', 2, 0.05),
)

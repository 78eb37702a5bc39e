"""What happens during a soak, drawn from a seed: faults and planned work, in series that overlap."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

QUIET_START_S = 1.5  # before the first step
QUIET_END_S = 4.0  # after the last step, for the gateway to recover
MAX_STEPS_IN_SERIES = 4
SERIES_GAP_S = (0.05, 1.5)  # between the steps of a series
PAUSE_S = (0.3, 2.5)
DOWN_S = (0.0, 0.8)
SECONDS_PER_SERIES = 2.0
SECONDS_PER_PLANNED_SERIES = 0.7  # where all steps are planned work


class StepKind(Enum):
    """What is done to one process, or to the gateway as a whole."""

    TERMINATE = "terminate"  # SIGTERM, and a new process once it has ended
    KILL = "kill"  # SIGKILL, and a new process
    KILL_CORE = "kill_core"  # all control planes at once
    PAUSE = "pause"  # SIGSTOP, and SIGCONT
    RELOAD = "reload"  # SIGHUP
    CONFIG = "config"  # a new version of the configuration
    DRAIN_SERVER = "drain_server"  # a stand-in server leaves, and comes back
    BURST = "burst"  # clients press harder


# How often each kind is drawn, for one process of either program or for the gateway.
WEIGHTS = {
    StepKind.TERMINATE: 4,
    StepKind.KILL: 3,
    StepKind.KILL_CORE: 1,
    StepKind.PAUSE: 2,
    StepKind.RELOAD: 3,
    StepKind.CONFIG: 4,
    StepKind.DRAIN_SERVER: 2,
    StepKind.BURST: 2,
}
UNPLANNED = frozenset({StepKind.KILL, StepKind.KILL_CORE, StepKind.PAUSE})


@dataclass(slots=True, frozen=True)
class Step:
    """One step of a plan; times are seconds of the run."""

    at_s: float
    kind: StepKind
    target: str = ""  # the address of a process; empty where the kind has none
    for_s: float = 0.0  # of a pause, a burst, or until a killed process is started again


def draw_plan(
    seed: int,
    seconds: float,
    control_planes: Sequence[str],
    data_planes: Sequence[str],
    planned_only: bool = False,
) -> list[Step]:
    """Return the steps of a run, in order; with `planned_only` none of them is a fault.

    At most one control plane at a time is killed, paused or told to end, as many as three of them tolerate;
    all of them may be killed at once, which keeps their disks.
    """
    random = Random(f"soak {seed}")
    steps: list[Step] = []
    last_s = max(QUIET_START_S, seconds - QUIET_END_S)
    kinds = [kind for kind in WEIGHTS if not (planned_only and kind in UNPLANNED)]
    seconds_per_series = SECONDS_PER_PLANNED_SERIES if planned_only else SECONDS_PER_SERIES
    for _ in range(max(1, int(seconds / seconds_per_series))):
        at_s = random.uniform(QUIET_START_S, last_s)
        steps += _draw_series(random, at_s, kinds, control_planes, data_planes)
    steps = [step for step in steps if step.at_s <= last_s]
    return sorted(steps, key=lambda step: step.at_s)


def _draw_series(
    random: Random,
    at_s: float,
    kinds: Sequence[StepKind],
    control_planes: Sequence[str],
    data_planes: Sequence[str],
) -> list[Step]:
    """Return one to some steps of one kind, one shortly after the other."""
    kind = random.choices(kinds, [WEIGHTS[kind] for kind in kinds])[0]
    steps = []
    for _ in range(random.randint(1, MAX_STEPS_IN_SERIES)):
        target = ""
        if kind in (StepKind.TERMINATE, StepKind.KILL, StepKind.PAUSE, StepKind.RELOAD):
            target = random.choice([*data_planes, random.choice(control_planes)])
        for_s = random.uniform(*(PAUSE_S if kind in (StepKind.PAUSE, StepKind.BURST) else DOWN_S))
        steps.append(Step(at_s, kind, target, for_s))
        at_s += random.uniform(*SERIES_GAP_S)
    return steps

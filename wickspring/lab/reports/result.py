"""The figures of a run, as `result.json` holds them."""

from __future__ import annotations

from pathlib import Path

import msgspec


class ResultError(ValueError):
    """A result that cannot be read; the message names the file."""


class Series(msgspec.Struct, forbid_unknown_fields=True):
    """Figures over time, one for each bin of `bin_ms`."""

    bin_ms: float = 250.0
    offered: list[int] = []
    served: list[int] = []
    refused: list[int] = []
    failed: list[int] = []
    latency_ms: list[float] = []  # median of what was served
    dials: list[int] = []
    ends: list[int] = []
    open: list[int] = []
    dead_writes: list[int] = []


class Result(msgspec.Struct, forbid_unknown_fields=True):
    """The figures of one run. Shares are of 1, times are milliseconds; -1: not measured."""

    scenario: str
    seed: int
    seconds: float
    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    served_share: float = 0.0
    served_in_aim_share: float = 0.0  # served within the latency target of their class
    latency_p50_ms: float = 0.0
    latency_p99_ms: float = 0.0
    answers_lost: int = 0
    answers_doubled: int = 0
    answers_late: int = 0
    answers_foreign: int = 0
    forbidden_copies: int = 0
    drains_broken: int = 0
    drain_ms_most: float = 0.0
    cold_broken: int = 0
    copies_beside: int = 0  # sent while an earlier attempt was in flight, where the site forbids it
    ceilings_broken: int = 0
    cold_load_most: float = 0.0  # over what overloads a cold server
    rules_broken: int = 0
    dials: int = 0
    dials_per_s_peak: int = 0  # in any second, to all servers
    dials_per_s_peak_server: int = 0  # in any second, to one
    reuses: int = 0
    reuse_share: float = 0.0
    sent_on_dead: int = 0  # requests written to a connection that was closing
    sent_on_dead_per_1000: float = 0.0
    attempts: int = 0
    escalates: int = 0  # requests that must not be executed twice
    escalate_failed: int = 0
    escalate_failed_share: float = 0.0
    connections_peak: int = 0
    beyond_quota_share: float = 0.0
    beyond_quota_worst: float = 0.0
    counter_calls_per_request: float = 0.0
    cpu_ms_per_request: float = -1.0
    peak_rss_mb: float = -1.0
    lab_loop_longest_ms: float = -1.0  # longest turn of the event loop of clients, servers and the rest
    lab_loop_long_turns: int = -1  # its turns of a tenth of a second or more
    lab_unread_longest_ms: float = -1.0  # that a response lay unread in the kernel before its client
    lab_sent_late_ms: float = -1.0  # that a request was sent after its time in the script, the longest
    instances: int = 0
    rolled: int = 0  # instances that an upgrade has brought to its build
    did_not_follow: int = 0
    hall_floor_broken: int = 0  # samples in which a hall had more down than the rules allow
    operations: dict[str, str] = {}  # how each ended, and why
    roll_s: float = -1.0  # from an upgrade's start to its end
    messages: int = 0  # between agents, in virtual time
    ingresses: int = 0
    budget_overspent_worst: float = 0.0  # share over a shared budget's bound, in its worst window
    quota_error_worst: float = 0.0  # units beyond, over the allowance of the firm with most of them
    judged_s: float = -1.0  # median time until an ingress has detected a failing server
    judged_worst_s: float = -1.0  # the same for nine in ten
    judged_wrong_share: float = 0.0  # healthy servers avoided by reports of others, over all, in all samples
    served_inside_share: float = -1.0  # of all requests, those served within quotas
    served_inside_share_alone: float = -1.0
    served_share_alone: float = -1.0  # the same run and seed without exchanges between ingresses
    judged_alone_s: float = -1.0
    quota_error_alone: float = -1.0
    cpu_ms_per_request_alone: float = -1.0
    peak_rss_alone_mb: float = -1.0
    peer_bytes_s: float = -1.0  # sent to other ingresses, by the one that sent most
    violations: list[str] = []  # the first of each rule: name of the rule, colon, what broke it
    unknown_requests: list[str] = []  # at ticket servers, that no client sent: sender, use and content
    gateway: dict[str, float] = {}  # the gateways' own counters, summed
    series: Series = msgspec.field(default_factory=Series)


def save(result: Result, folder: Path) -> None:
    """Write `result.json`."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))


def load(folder: Path) -> Result:
    """Read the result of a run's folder."""
    path = folder / "result.json"
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except OSError as error:
        raise ResultError(f"{path} cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ResultError(f"{path}: {error}") from error


def load_all(folder: Path) -> list[Result]:
    """Read a run's folder, or all runs in a folder of runs."""
    if (folder / "result.json").exists():
        return [load(folder)]
    results = [load(path.parent) for path in sorted(folder.glob("*/result.json"))]
    if not results:
        raise ResultError(f"{folder}: there is no result.json in it or in its folders")
    return results

"""Metrics of one process as text: one line for each sample, `name{label="value"} number`.

The format is the text exposition format of Prometheus, version 0.0.4, without comments
(https://prometheus.io/docs/instrumenting/exposition_formats/).
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

METRICS_PATH = "/metrics"
PREFIX = "wickspring_"
KIND_LABEL = "kind"

_EVENT_NAME = re.compile(r"(?P<name>\w+)\[(?P<kind>[^\]]*)\]\Z")
_LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


@dataclass(slots=True, frozen=True)
class Sample:
    """One value of a metric."""

    name: str  # without `PREFIX`
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)

    def render(self) -> str:
        """Return the line of this sample, without its end."""
        labels = ",".join(f'{key}="{value.translate(_LABEL_ESCAPES)}"' for key, value in self.labels.items())
        return (
            f"{PREFIX}{self.name}{{{labels}}} {self.value:g}"
            if labels
            else f"{PREFIX}{self.name} {self.value:g}"
        )


def event_samples(counts: Mapping[str, object]) -> list[Sample]:
    """Return the samples of event counts; one named `name[kind]` gets a label.

    Other values than numbers are left out.
    """
    return [_event_sample(name, value) for name, value in counts.items() if isinstance(value, (int, float))]


def _event_sample(name: str, value: float) -> Sample:
    match = _EVENT_NAME.match(name)
    if match is None:
        return Sample(name, value)
    return Sample(match["name"], value, {KIND_LABEL: match["kind"]})


def render_metrics(samples: Iterable[Sample]) -> bytes:
    """Return the samples as text, one line each."""
    return "".join(f"{sample.render()}\n" for sample in samples).encode()

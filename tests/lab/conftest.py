"""Has pytest explain the failed assertions of the helpers of these tests as well."""

from __future__ import annotations

import pytest

pytest.register_assert_rewrite("tests.lab.observed_records", "tests.lab.short_scenarios")

"""Makes the builders importable from the steps, and sets up fixtures shared by a feature."""

from __future__ import annotations

import sys
from pathlib import Path

from behave import use_fixture

sys.path.insert(0, str(Path(__file__).parent))


def before_feature(context, feature):
    if Path(feature.filename).stem == "matrix_requests":
        from matrix.fixtures import serve_lane

        context.run_cell = use_fixture(serve_lane, context)

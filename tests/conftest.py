"""One verdict for one checkout: properties draw their examples from a fixed seed.

For a search with other ones: `python -m pytest --hypothesis-profile=search`.
"""

import gc
import os

import pytest
from hypothesis import HealthCheck, settings
from known_red import pytest_addoption as pytest_addoption
from known_red import pytest_configure as pytest_configure

# The source is what is tested, whatever this checkout has compiled; what is to run compiled sets it empty.
os.environ.setdefault("HARELOOM_PLAIN", "1")

# How fast examples are drawn is the machine's, not the code's: a busy one failed properties that hold.
settings.register_profile(
    "same", derandomize=True, database=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.register_profile("search", derandomize=False, max_examples=2000)
settings.load_profile("same")


def pytest_collection_finish() -> None:
    """Exempts the collected tests from garbage collection, as they live until the end."""
    gc.collect()
    gc.freeze()


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup() -> None:
    """Collects the garbage of the tests before: a full collection of their objects stops the process for some
    hundred ms, and a request that waits in real time may be refused after 90 ms."""
    gc.collect()

"""Settings of all tests: hypothesis draws the same examples each time.

CI has to give the same verdict on the same code, also on a busy machine: examples
follow from the test itself, and neither a slow example nor slow drawing is a failure.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-each-time",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-each-time")

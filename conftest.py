"""Settings shared by all tests."""

from hypothesis.internal.conjecture import providers

# Hypothesis also draws constants found in the modules that happen to be
# imported, so a verdict depended on which tests ran before in the process.
providers._get_local_constants = providers.Constants

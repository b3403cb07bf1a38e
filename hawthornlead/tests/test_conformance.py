"""The tests of the judge that shares no code with the product.

They live beside it, in ``conformance/tests``, and run here with all others.
"""

from conformance.tests.test_judge import *  # noqa: F403
from conformance.tests.test_response_rules import *  # noqa: F403
from conformance.tests.test_run_rules import *  # noqa: F403

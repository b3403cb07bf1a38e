"""Builds the ledger of quotas that the settings ask for, and reads its limits."""

from ..decisions.fair_quotas import FairQuotaLedger
from ..decisions.quotas import Limit, QuotaLedger, QuotaRefusal
from .gateway_metrics import GatewayMetrics
from .records import Configuration, QuotaUnit

# By how many tokens a window may exceed a quota, apart from a tenth of the rate.
SLACK_TOKENS = 17000.0


def build_ledger(settings: dict, metrics: GatewayMetrics, **parts) -> QuotaLedger:
    """Build the ledger; ``parts`` are what a ``QuotaLedger`` takes."""

    def count(cause: QuotaRefusal) -> None:
        metrics.quota_refusals.labels(cause.value).inc()

    kind = FairQuotaLedger if settings["FAIR_SHARES"] else QuotaLedger
    return kind(on_refused=count, **parts)


def read_limits(configuration: Configuration) -> dict[str, Limit]:
    """Return the limits of a configuration's workspaces, by name."""
    limits = {}
    for workspace in configuration.workspaces or ():
        quota = workspace.quota
        if quota is None:
            continue
        slack = SLACK_TOKENS if quota.unit is QuotaUnit.TOKENS else 0.0
        limits[workspace.name] = Limit(quota.rate, quota.burst, slack)
    return limits

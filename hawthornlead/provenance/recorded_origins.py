"""The parts by which VMs keep in the store where streams began."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from ..gateway.store_clients import StoreClient
from ..settings import Settings
from ..timers import TimerService
from .origin_ledgers import OriginLedger, RouteOrigin
from .origin_lookups import OriginLookups
from .origin_sweeps import OriginSweeps
from .origin_tables import StreamOrigin

# The share of the store's writes a second that all VMs together may use for origins.
# It takes several times as many reads.
RATE_SHARE = 0.25
MIN_LIST_PAUSE_S = 0.02


class RecordedOrigins(NamedTuple):
    """This VM's record of where streams may begin, and what all VMs have recorded."""

    ledger: OriginLedger
    lookups: OriginLookups
    sweeps: OriginSweeps

    def start(self, again: bool) -> None:
        """Start, once this VM is registered; ``again`` if it was before."""
        self.ledger.start(again)
        self.lookups.load()
        self.sweeps.start()

    def stop(self) -> None:
        """Stop all."""
        self.ledger.stop()
        self.lookups.stop()
        self.sweeps.stop()


def build_recorded_origins(
    settings: Settings,
    *,
    client: StoreClient,
    timers: TimerService,
    vms: Callable[[], Collection[str]],
    fleet_size: Callable[[], int],
    wanted: Callable[[], Iterable[RouteOrigin]],
    on_streams: Callable[[Mapping[str, StreamOrigin]], None],
) -> RecordedOrigins:
    """Build the parts; ``vms`` returns those that serve, ``wanted`` what is in use."""
    calls_per_s = RATE_SHARE * settings["STORE_WRITES_PER_S"]
    ledger = OriginLedger(
        vm=settings["VM_NAME"],
        client=client,
        timers=timers,
        wanted=wanted,
        interval_s=lambda: fleet_size() / calls_per_s,
    )
    lookups = OriginLookups(
        client=client,
        timers=timers,
        vms=vms,
        pause_s=lambda: max(MIN_LIST_PAUSE_S, fleet_size() / calls_per_s),
        on_streams=on_streams,
    )
    sweeps = OriginSweeps(vm=settings["VM_NAME"], client=client, timers=timers, vms=vms)
    return RecordedOrigins(ledger, lookups, sweeps)

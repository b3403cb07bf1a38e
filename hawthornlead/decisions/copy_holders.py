"""The choice of the VMs that keep copies of what a VM knows.

A pure function of the live VMs::

    choose_holders("gijon-1", {"gijon-1": "gijon", "bilbao-1": "bilbao"}, 3)
"""

from collections import Counter
from collections.abc import Mapping

from ..hashes import rendezvous


def choose_holders(
    vm: str, data_centres: Mapping[str, str], count: int
) -> tuple[str, ...]:
    """Return the ``count`` VMs that hold the copies of a VM, or fewer.

    ``data_centres`` gives that of each live VM. Each further copy goes to the data
    centre with the fewest of them, the VM's own included, so that some survive the loss
    of a data centre. The choice differs between VMs and changes little as others come
    and go.
    """
    order = [each for each in rendezvous(vm, data_centres) if each != vm]
    copies = Counter([data_centres[vm]] if vm in data_centres else ())
    chosen: list[str] = []
    while order and len(chosen) < count:
        best = min(order, key=lambda each: copies[data_centres[each]])
        order.remove(best)
        copies[data_centres[best]] += 1
        chosen.append(best)
    return tuple(chosen)

"""Tests of the views that a VM has of targets."""

from hawthornlead.decisions.views import TargetViews
from hawthornlead.messages import TargetState

from .fakes_targets import FakeOwnerRecord, FakeVmList, engine_entry, make_parts


class _Owners:
    def owner_of(self, resource):
        if resource == "target:engine-1":
            return FakeOwnerRecord("vm-2", "a", 3)
        return None


def _state(fence, serial, leaving=False):
    return TargetState("engine-1", fence, serial, 2, 0, 0, leaving, ())


def _views(vm_list):
    parts = make_parts()
    views = TargetViews(
        timers=parts.timers, events=parts.events, vm_list=vm_list, owners=_Owners()
    )
    vm_list.subscribe(views._on_vm_list)
    return views


def test_view_joins_vm_list_owner_and_state():
    views = _views(FakeVmList(engine_entry("engine-1"), engine_entry("engine-2")))
    assert views.apply_state(_state(3, 1))
    first, second = views.views()
    assert (first.owner_vm, first.state.serial, first.leaving) == ("vm-2", 1, False)
    assert (second.owner_vm, second.state, second.base_models) == ("", None, ("base",))


def test_late_message_of_superseded_owner_is_ignored():
    """A frozen owner resumes and announces outdated state.

    A router that used it would send requests to an evicted adapter. The successor
    announced earlier under a greater fence, and its state must stay.
    """
    views = _views(FakeVmList(engine_entry("engine-1")))
    assert views.apply_state(_state(4, 1))
    assert not views.apply_state(_state(3, 99))
    assert views.view("engine-1").state.fence == 4
    assert not views.apply_state(_state(4, 0))


def test_leaving_target_is_known_from_vm_list_or_owner():
    vm_list = FakeVmList(engine_entry("engine-1", state="leaving"))
    views = _views(vm_list)
    assert views.view("engine-1").leaving
    vm_list.entries = [engine_entry("engine-1")]
    vm_list.changed()
    views.apply_state(_state(3, 1, leaving=True))
    assert views.view("engine-1").leaving
    vm_list.entries = []
    vm_list.changed()
    assert views.view("engine-1") is None and views.views() == ()


def test_a_state_rebuilds_one_view_and_not_all():
    """With 610 targets, states arrive faster than all views can be rebuilt.

    Each announced state made the next request rebuild the views of all targets, which
    took 3 ms of an entry VM's event loop, 46 times a second.
    """
    entries = [engine_entry(f"engine-{number}") for number in range(1, 6)]
    views = _views(FakeVmList(*entries))
    before = views.views()
    assert views.apply_state(_state(3, 1))
    after = views.views()
    assert after[0].state.serial == 1 and before[0].state is None
    assert [each.target for each in after] == [each.target for each in before]
    assert all(new is old for new, old in zip(after[1:], before[1:], strict=True))

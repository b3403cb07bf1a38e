"""Tests of the targets that a VM owns and of their announcements."""

from hawthornlead.tests.fakes_worlds import World


async def test_a_joining_vm_receives_all_target_states_at_once():
    """Guards against "no target serves base" answers by a VM that has just started.

    The VM joins after the owner announced a target's state. Without a change the owner
    announces it again only seconds later.
    """
    world = World("a")
    world.assign("a")
    await world.advance(1)
    world.join("b")
    await world.advance(0.3)
    state = world.vms["b"].views.view("engine").state
    assert state is not None
    assert state.slots == 1

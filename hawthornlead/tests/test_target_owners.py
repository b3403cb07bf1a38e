"""Tests of the targets that a VM owns, and of what it tells of them."""

from hawthornlead.tests.fakes_worlds import World


async def test_a_joining_vm_receives_all_target_states_at_once():
    """The first requests at a VM just started are refused "no target serves base".

    An owner tells a target's state; then a VM joins. Without a change the owner
    tells again only seconds later, and until then the VM knows of no usable target.
    """
    world = World("a")
    world.assign("a")
    await world.advance(1)
    world.join("b")
    await world.advance(0.3)
    state = world.vms["b"].views.view("engine").state
    assert state is not None
    assert state.slots == 1

"""Tests that the examples for embedding run as they stand."""

from examples import embed_lease


async def test_embedded_owners_hand_on_and_take_over(capsys):
    # A worker that owns the job is killed and gives nothing back. Another must do the
    # job, but only once the dead one's lease has run out, and under a higher fence.
    taken, handed_on, taken_over = await embed_lease.run()
    assert taken < handed_on < taken_over
    printed = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in printed] == ["first", "second", "first"]

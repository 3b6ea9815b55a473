"""Tests of failure detection in simulated time, without sockets."""

from __future__ import annotations

import dataclasses
import random

from greengagelatch.instances import Instance, InstanceKind, InstanceState, Listing
from greengagelatch.membership.detector import Detector
from greengagelatch.membership.messages import MembersTable, Probe, ProbeAck
from greengagelatch.membership.records import MemberUpdate, encode_update
from greengagelatch.membership.steps import DetectorRules, Identity
from greengagelatch.peers import MemberState
from greengagelatch_lab.capacity.detector_fleet import DetectorFleet, SimulatedInstance

FIRST, SECOND, THIRD = "entry-00000", "entry-00001", "entry-00002"


def start_fleet(size: int, **options) -> DetectorFleet:
    fleet = DetectorFleet(size, seed=7, **options)
    fleet.converge()
    fleet.run(5)
    return fleet


def restart_detector(
    fleet: DetectorFleet, instance_id: str, incarnation: int
) -> SimulatedInstance:
    index = int(instance_id.rpartition("-")[2])
    node = fleet.add(index, incarnation=incarnation)
    fleet.register_with_all(instance_id)
    return node


def all_views_show(fleet: DetectorFleet, observed: str, state: MemberState) -> bool:
    return set(fleet.count_states(observed)) == {state}


def test_stopped_instance_is_dead_everywhere():
    fleet = start_fleet(9)
    fleet.instances[SECOND].stopped = True
    fleet.run(20)
    assert all_views_show(fleet, SECOND, MemberState.DEAD)
    assert fleet.false_deaths == 0


def test_broken_one_way_link_does_not_make_a_peer_dead():
    """
    Guards against declaring a healthy instance dead because one path is broken. All
    messages from the first instance to the second are lost and all other paths work,
    so only direct probes fail.
    """
    fleet = start_fleet(9, is_lost=lambda sender, to: (sender, to) == (FIRST, SECOND))
    fleet.run(60)
    assert fleet.find_state(FIRST, SECOND) is MemberState.ALIVE
    assert fleet.false_suspicions == 0


def test_paused_instance_suspects_nobody():
    """
    Guards against a paused process declaring healthy peers dead when it continues. A
    probe and a suspicion are pending when it stops, and both are overdue when it
    continues unless the time of the pause is left out.
    """
    fleet = start_fleet(3)
    detector = fleet.instances[FIRST].detector
    suspect = dataclasses.replace(
        fleet.instances[THIRD].detector.own.update, state=MemberState.SUSPECT
    )
    probe = Probe(1, (encode_update(suspect),))
    detector.receive(fleet.now, SECOND, probe)
    for tick in range(20):
        # no answer arrives, so probes of both stay pending
        detector.advance(fleet.now + tick / 20)
    detector.advance(fleet.now + 60)
    assert fleet.find_state(FIRST, SECOND) is MemberState.ALIVE
    assert fleet.find_state(FIRST, THIRD) is MemberState.SUSPECT


def test_continued_instance_is_alive_again_everywhere():
    """
    Guards against a paused instance staying dead for the others after it continues.
    This happens if it does not learn that it was declared dead, or if its refutation
    does not override that.
    """
    fleet = start_fleet(9)
    fleet.instances[FIRST].paused = True
    fleet.run(60)
    assert all_views_show(fleet, FIRST, MemberState.DEAD)
    fleet.instances[FIRST].paused = False
    fleet.run(20)
    assert all_views_show(fleet, FIRST, MemberState.ALIVE)
    assert fleet.false_suspicions == 0


def test_leaving_sticks_against_stale_list_and_peers():
    """
    Guards against giving work to an instance that is about to stop. After it has
    announced that it leaves, an outdated listing and a peer that was partitioned still
    show it as live. The update received last must not override the leaving state.
    """
    fleet = start_fleet(9)
    stale = fleet.list_instances()
    before = fleet.instances[FIRST].detector.own.update
    fleet.send_output(FIRST, fleet.instances[FIRST].detector.leave(fleet.now))
    fleet.run(5)
    fleet.instances[FIRST].stopped = True
    fleet.apply_listing(stale)
    dead = dataclasses.replace(before, state=MemberState.DEAD)
    late = Probe(1, (encode_update(before), encode_update(dead)))
    for instance_id, node in fleet.instances.items():
        if not node.stopped:
            step = node.detector.receive(fleet.now, SECOND, late)
            fleet.send_output(instance_id, step)
    fleet.run(5)
    assert all_views_show(fleet, FIRST, MemberState.LEAVING)
    fleet.run(60)
    assert all_views_show(fleet, FIRST, MemberState.LEAVING)


def test_listed_as_leaving_sticks_before_first_contact():
    """
    Guards against a new instance giving work to one that is leaving. The list shows
    it as leaving, then it connects, and its hello must not override the list.
    """
    fleet = DetectorFleet(2, seed=1)
    fleet.apply_listing(fleet.list_instances(leaving=frozenset({SECOND})))
    fleet.converge()
    fleet.run(5)
    assert fleet.find_state(FIRST, SECOND) is MemberState.LEAVING


def test_list_may_be_out_of_date_in_both_directions():
    """
    Guards against treating the platform's list as proof that an instance is alive or
    dead. The listing shows an instance that no longer exists and lacks one that runs.
    """
    fleet = start_fleet(3)
    vanished = Instance(
        instance_id="entry-vanished",
        kind=InstanceKind.ENTRY,
        data_centre="kumamoto",
        address="10.9.9.9:8082",
        state=InstanceState.LIVE,
    )
    fleet.apply_listing(Listing(10, (vanished,)))
    fleet.run(30)
    assert all_views_show(fleet, SECOND, MemberState.ALIVE)
    record = fleet.instances[FIRST].detector.table.find("entry-vanished")
    assert record.state is MemberState.DEAD
    assert not record.confirmed


def test_partitioned_data_centre_is_dead_and_comes_back():
    """
    Guards against two sides staying separate after a partition has healed. Each side
    has declared the other dead by then, and they rejoin only if dead instances are
    kept and probed.
    """
    fleet = start_fleet(9)
    inside = {
        instance_id
        for instance_id, node in fleet.instances.items()
        if node.identity.data_centre == "kumamoto"
    }
    fleet.is_lost = lambda sender, receiver: (sender in inside) != (receiver in inside)
    fleet.run(300)
    assert fleet.find_state(FIRST, THIRD) is MemberState.DEAD
    assert fleet.find_state(THIRD, FIRST) is MemberState.DEAD
    fleet.is_lost = lambda sender, receiver: False
    fleet.run(60)
    assert all(
        all_views_show(fleet, instance_id, MemberState.ALIVE)
        for instance_id in fleet.instances
    )


def test_former_process_is_not_probed_at_a_reused_address():
    """
    Guards against connection attempts that go on for minutes after all instances were
    killed at once. Each restarts at its address with a new id, and the former ids are
    dead. They must not be probed while another process uses their address.
    """
    detector = Detector(
        identity=create_identity("e-1", "10.0.0.1:1"),
        rules=DetectorRules(),
        random_source=random.Random(3),
    )
    former = (("e-2-former", "10.0.0.2:1"), ("e-1-former", "10.0.0.1:1"))
    for name, address in (*former, ("e-3", "10.0.0.3:1")):
        detector.register_peer(0.0, create_identity(name, address))
        update = MemberUpdate(instance_id=name, incarnation=5, state=MemberState.DEAD)
        detector.receive(0.0, "e-2", MembersTable((encode_update(update),)))
    probed = set()
    step = detector.register_peer(0.0, create_identity("e-2", "10.0.0.2:1"))
    for tick in range(300):
        now = tick * 0.2
        probed |= {one.instance_id for one in step.sends}
        for one in step.sends:
            if one.instance_id == "e-2" and isinstance(one.message, Probe):
                detector.receive(now, "e-2", ProbeAck(one.message.sequence, ()))
        step = detector.advance(now)
    assert probed.isdisjoint(name for name, _ in former)
    assert "e-3" in probed


def test_dead_instances_of_the_own_data_centre_are_probed_in_each_interval():
    """
    Guards against an instance that restarts in a data centre that is cut off and is
    found late. It knows no peer; those beside it probe its address among those of
    many instances that are dead to them, as they are out of reach.
    """
    rules = DetectorRules()
    detector = Detector(
        identity=create_identity("e-1", "10.0.0.1:1"),
        rules=rules,
        random_source=random.Random(3),
    )
    remote = [(f"far-{number}", f"10.0.1.{number}:1", "south") for number in range(30)]
    for name, address, data_centre in [("near", "10.0.0.2:1", "north"), *remote]:
        detector.register_peer(0.0, create_identity(name, address, data_centre))
        update = MemberUpdate(instance_id=name, incarnation=5, state=MemberState.DEAD)
        detector.receive(0.0, "near", MembersTable((encode_update(update),)))
    probed = []
    for tick in range(round(4 * rules.dead_interval / 0.2)):
        step = detector.advance(tick * 0.2)
        probed += [
            one.instance_id for one in step.sends if isinstance(one.message, Probe)
        ]
    assert probed.count("near") >= 3
    assert len([name for name in probed if name != "near"]) >= 3


def create_identity(
    instance_id: str, address: str, data_centre: str = "north"
) -> Identity:
    return Identity(
        instance_id=instance_id,
        data_centre=data_centre,
        address=address,
        incarnation=5,
    )


def test_lost_messages_rarely_raise_suspicion():
    """
    Guards against suspicion after a single unanswered probe: one of 20 messages is
    lost at random, and healthy instances must not be declared dead.
    """
    source = random.Random(3)
    fleet = start_fleet(50, is_lost=lambda sender, receiver: source.random() < 0.05)
    fleet.run(120)
    assert fleet.false_deaths == 0
    # of 50 observers and 120 probes each
    assert fleet.false_suspicions < 20


def test_new_instance_learns_all_from_one_peer():
    fleet = start_fleet(9)
    node = fleet.add(9)
    newcomer = node.identity.instance_id
    step = node.detector.register_peer(fleet.now, fleet.instances[FIRST].identity)
    fleet.send_output(newcomer, step)
    table = fleet.instances[FIRST].detector.list_all_updates()
    answer = MembersTable(tuple(encode_update(update) for update in table))
    fleet.send_output(newcomer, node.detector.receive(fleet.now, FIRST, answer))
    fleet.run(10)
    assert len(node.detector.table) == 9
    assert all_views_show(fleet, newcomer, MemberState.ALIVE)


def test_restart_with_a_clock_that_stepped_back():
    """
    Guards against a restarted instance staying dead for all others. It restarts with
    the same id, but its clock was set back, so its incarnation is lower and updates
    about the earlier process override its own until it raises its incarnation.
    """
    fleet = start_fleet(5)
    fleet.instances[FIRST].stopped = True
    fleet.run(20)
    assert all_views_show(fleet, FIRST, MemberState.DEAD)
    restart_detector(fleet, FIRST, incarnation=5)
    fleet.run(20)
    assert all_views_show(fleet, FIRST, MemberState.ALIVE)


def test_instance_refutes_being_dead_but_not_leaving():
    fleet = DetectorFleet(1, seed=1)
    own = fleet.instances[FIRST].detector.own

    def refute(state: MemberState) -> int:
        update = MemberUpdate(
            instance_id=FIRST, incarnation=own.incarnation, state=state
        )
        own.refute(update)
        return own.incarnation

    first = own.incarnation
    assert refute(MemberState.ALIVE) == first
    assert refute(MemberState.SUSPECT) == first + 1
    assert refute(MemberState.DEAD) == first + 2
    assert refute(MemberState.LEAVING) == first + 2

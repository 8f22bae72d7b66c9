import random

import testtools

from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from tests.builders import fleet as builders

State = members.State
COUNT = 12
DETECTION_LIMIT = 5.0  # seconds


class MembershipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = builders.network(COUNT)

    def observed_states(self, vm_id):
        return {
            node.membership.state_of(vm_id)
            for other_id, node in self.network.nodes_by_id.items()
            if other_id != vm_id
        }

    def assert_all_live(self):
        for number in range(COUNT):
            self.assertEqual(
                {State.LIVE}, self.observed_states(builders.vm_id(number))
            )

    def test_all_vms_join_through_one_first_peer(self):
        self.assert_all_live()

    def test_a_dead_vm_is_gone_within_the_limit(self):
        self.network.remove("vm-3")
        self.network.run(DETECTION_LIMIT)
        self.assertEqual({State.GONE}, self.observed_states("vm-3"))

    def test_a_dead_failure_domain_is_gone_within_the_limit(self):
        dead = [builders.vm_id(number) for number in range(0, COUNT, 3)]
        for vm_id in dead:
            self.network.remove(vm_id)
        self.network.run(DETECTION_LIMIT)
        for vm_id in dead:
            self.assertEqual({State.GONE}, self.observed_states(vm_id))
        self.assertEqual({State.LIVE}, self.observed_states("vm-1"))

    def test_no_vm_is_gone_while_one_link_is_cut_one_way(self):
        self.network.cut_pairs.add(("vm-1", "vm-2"))
        for _ in range(100):
            self.network.run(0.2)
            self.assertNotIn(State.GONE, self.observed_states("vm-1"))
            self.assertNotIn(State.GONE, self.observed_states("vm-2"))

    def test_a_vm_that_receives_nothing_makes_no_other_vm_gone(self):
        for number in range(COUNT):
            self.network.cut_pairs.add((builders.vm_id(number), "vm-5"))
        others = [node for node in self.network.nodes_by_id if node != "vm-5"]
        for _ in range(100):
            self.network.run(0.1)
            for vm_id in others:
                view = self.network.nodes_by_id["vm-1"].membership
                self.assertIsNot(State.GONE, view.state_of(vm_id))

    def test_a_vm_is_live_after_a_short_pause(self):
        self.network.paused_ids.add("vm-4")
        self.network.run(1.5)
        self.network.paused_ids.clear()
        self.network.run(2.0)
        self.assert_all_live()

    def test_a_vm_is_gone_during_a_long_pause_and_live_after_it(self):
        self.network.paused_ids.add("vm-4")
        self.network.run(30.0)
        self.assertEqual({State.GONE}, self.observed_states("vm-4"))
        self.network.paused_ids.clear()
        for _ in range(50):
            self.network.run(0.1)
            for number in (0, 1, 2, 3, 5):
                states = self.observed_states(builders.vm_id(number))
                self.assertNotIn(State.GONE, states)
        self.assert_all_live()

    def test_the_parts_of_a_partitioned_fleet_rejoin(self):
        low = [builders.vm_id(number) for number in range(6)]
        high = [builders.vm_id(number) for number in range(6, COUNT)]
        cuts = {(a, b) for a in low for b in high}
        cuts |= {(b, a) for a, b in cuts}
        self.network.cut_pairs |= cuts
        self.network.run(60.0)
        view = self.network.nodes_by_id["vm-0"].membership
        self.assertEqual(low, sorted(view.usable_ids()))
        self.network.cut_pairs.clear()
        self.network.run(10.0)
        self.assert_all_live()

    def test_a_replacing_process_joins_as_a_new_incarnation(self):
        first = (membership.Peer(builders.ip(0), builders.PORT),)
        ip, domain = builders.ip(3), builders.entry(3).domain
        self.network.add("vm-3", ip, domain, first, incarnation=2)
        self.network.run(DETECTION_LIMIT)
        self.assert_all_live()
        view = self.network.nodes_by_id["vm-7"].membership
        entry = view.table.members_by_id["vm-3"].entry
        self.assertEqual(2, entry.incarnation)

    def test_a_process_started_after_its_clock_was_set_back_joins(self):
        first = (membership.Peer(builders.ip(0), builders.PORT),)
        ip, domain = builders.ip(3), builders.entry(3).domain
        self.network.add("vm-3", ip, domain, first, incarnation=0)
        self.network.run(DETECTION_LIMIT)
        self.assert_all_live()

    def test_a_vm_is_gone_once_another_vm_has_its_address(self):
        first = (membership.Peer(builders.ip(0), builders.PORT),)
        self.network.remove("vm-3")
        self.network.add(
            "vm-new", builders.ip(3), "hay-riad", first, incarnation=2
        )
        self.network.run(3.0)
        self.assertEqual({State.GONE}, self.observed_states("vm-3"))
        self.assertEqual({State.LIVE}, self.observed_states("vm-new"))

    def test_all_vms_know_a_leaving_vm_within_two_seconds(self):
        view = self.network.nodes_by_id["vm-2"].membership
        self.network.send("vm-2", view.announce_leaving())
        self.network.run(2.0)
        self.assertEqual({State.LEAVING}, self.observed_states("vm-2"))
        self.assertNotIn("vm-2", view.usable_ids())

    def test_all_vms_know_an_ended_process_within_two_seconds(self):
        view = self.network.nodes_by_id["vm-2"].membership
        self.network.send("vm-2", view.announce_gone())
        self.network.remove("vm-2")
        self.network.run(2.0)
        self.assertEqual({State.GONE}, self.observed_states("vm-2"))


class SafeguardTest(testtools.TestCase):
    """Tests the rules against wrong suspicions in one view, no network."""

    def setUp(self):
        super().setUp()
        self.view = membership.Membership(
            builders.entry(0), (), random.Random(1), 0.0
        )
        self.view.merge([builders.entry(each) for each in (1, 2, 3)], 0.0)

    def run_ticks(self, start, end, heard=()):
        now = start
        while now < end:
            for number in heard:
                self.view.receive(builders.ping(number), now)
            self.view.tick(now)
            now += 0.1

    def suspects(self):
        return sorted(self.view.table.suspect_ids)

    def test_a_pause_of_this_process_makes_no_suspects(self):
        self.run_ticks(0.0, 0.3)
        self.view.receive(builders.ping(1), 10.0)
        self.view.tick(10.0)
        self.view.tick(10.1)
        self.assertEqual([], self.suspects())

    def test_a_pause_restarts_the_suspicion_timeout(self):
        self.run_ticks(0.0, 1.3, heard=(1, 2))
        self.assertEqual(["vm-3"], self.suspects())
        self.run_ticks(10.0, 10.9, heard=(1, 2))
        self.assertEqual(["vm-3"], self.suspects())

    def test_a_pause_that_the_time_leaves_out_restarts_it_too(self):
        self.run_ticks(0.0, 1.3, heard=(1, 2))
        self.assertEqual(["vm-3"], self.suspects())
        self.view.tick(1.4, paused=8.6)
        self.run_ticks(1.5, 2.3, heard=(1, 2))
        self.assertEqual(["vm-3"], self.suspects())

    def test_a_vm_without_messages_suspects_no_other_vm_at_first(self):
        self.run_ticks(0.0, 0.5, heard=(1, 2, 3))
        self.run_ticks(0.5, 3.0)
        self.assertEqual([], self.suspects())
        self.assertEqual(4, len(self.view.usable_ids()))
        self.run_ticks(3.0, 9.0)
        self.assertEqual(["vm-0"], self.view.usable_ids())

    def test_the_incarnation_rises_above_the_one_known_to_peers(self):
        ping = builders.ping(1, believed_incarnation=5)
        self.view.receive(ping, 0.0)
        self.assertEqual(6, self.view.own.incarnation)
        heard = builders.entry(0, incarnation=9)
        self.view.receive(builders.ping(1, entries=(heard,)), 0.0)
        self.assertEqual(10, self.view.own.incarnation)

    def test_a_vm_marked_gone_learns_so_from_the_ack_to_its_ping(self):
        gone = builders.entry(1)._replace(liveness=messages.Liveness.GONE)
        self.view.merge([gone], 0.0)
        for _ in range(100):
            self.view.tick(0.1)
            self.view._take_entries_for(self.view.own.domain)
        # After the newcomer period, in which acks name other members as well.
        now = membership.NEWCOMER_PERIOD + 0.1
        ack = self.view.receive(builders.ping(1), now)[0].message
        self.assertEqual((gone,), ack.entries)

    def test_a_vm_refutes_a_suspicion_of_itself(self):
        suspect = builders.entry(0)._replace(
            liveness=messages.Liveness.SUSPECT
        )
        ping = builders.ping(1, entries=(suspect,))
        ack = self.view.receive(ping, 0.0)[0].message
        self.assertEqual(1, ack.sender.counter)
        self.assertIs(messages.Liveness.LIVE, ack.sender.liveness)

    def test_of_two_vms_at_an_address_the_older_incarnation_is_gone(self):
        later = builders.entry(1, vm_id="vm-new", incarnation=2)
        self.view.merge([later], 1.0)
        self.assertIs(State.GONE, self.view.state_of("vm-1"))
        self.assertIs(State.LIVE, self.view.state_of("vm-new"))
        earlier = builders.entry(1, vm_id="vm-old", incarnation=1)
        self.view.merge([earlier], 2.0)
        self.assertIs(State.GONE, self.view.state_of("vm-old"))

    def test_no_vm_is_present_at_an_address_after_a_move(self):
        old = builders.entry(1)
        moved = builders.entry(1, ip="10.9.9.9", counter=1)
        self.view.merge([moved], 1.0)
        table = self.view.table
        self.assertFalse(table.is_present_at(old.ip, old.port))
        self.assertTrue(table.is_present_at(moved.ip, moved.port))

    def test_a_gone_vm_is_forgotten_after_the_tombstone_lifetime(self):
        gone = builders.entry(1)._replace(liveness=messages.Liveness.GONE)
        self.view.merge([gone], 0.0)
        self.view.table.forget_expired(members.TOMBSTONE_LIFETIME - 1)
        self.assertIn("vm-1", self.view.table.members_by_id)
        self.view.table.forget_expired(members.TOMBSTONE_LIFETIME)
        self.assertNotIn("vm-1", self.view.table.members_by_id)
        self.assertFalse(self.view.table.is_present_at(gone.ip, gone.port))


class DatagramTest(testtools.TestCase):
    def test_a_full_message_with_long_names_fits_into_a_datagram(self):
        long_names = {"domain": "d" * 64, "ip": "f" * 39}
        own = builders.entry(0, vm_id="v" * 64, **long_names)
        view = membership.Membership(own, (), random.Random(1), 0.0)
        entries = [
            builders.entry(number, vm_id=f"{number:064d}", **long_names)
            for number in range(100)
        ]
        suspect = entries[0]._replace(liveness=messages.Liveness.SUSPECT)
        view.merge([*entries, suspect], 0.0)
        sealer = builders.sealer(0)
        for step in range(200):
            for sent in view.tick(step * 0.2):
                size = len(sealer.seal(sent.message))
                self.assertLess(size, wire.DATAGRAM_SIZE_LIMIT)

    def test_many_entries_with_short_names_fit_into_a_message(self):
        view = membership.Membership(
            builders.entry(0), (), random.Random(1), 0.0
        )
        domain = view.own.domain
        view.merge(
            [builders.entry(each, domain=domain) for each in range(1, 90)], 0.0
        )
        sent = view.tick(0.1)[0].message
        self.assertGreater(len(sent.entries), 15)

    def test_few_live_but_many_gone_entries_go_to_another_domain(self):
        view = membership.Membership(
            builders.entry(0), (), random.Random(1), 0.0
        )
        view.merge(
            [builders.entry(each, domain="far") for each in range(1, 90)], 0.0
        )
        self.assertLess(len(view.tick(0.1)[0].message.entries), 4)
        gone = [
            builders.entry(each, domain="far")._replace(
                liveness=messages.Liveness.GONE
            )
            for each in range(1, 60)
        ]
        view.merge(gone, 0.1)
        self.assertGreater(len(view.tick(0.4)[0].message.entries), 10)


class VmListTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.view = membership.Membership(
            builders.entry(0), (), random.Random(1), 0.0
        )

    def listed(self, number, leaving=False):
        peer = membership.Peer(builders.ip(number), builders.PORT)
        return membership.ListedPeer(builders.vm_id(number), peer, leaving)

    def test_a_listed_vm_is_pinged_and_gone_until_it_answers(self):
        self.view.set_listed([self.listed(1)])
        sent = self.view.tick(0.1)
        self.assertEqual([builders.ip(1)], [each.ip for each in sent])
        self.assertIs(State.GONE, self.view.state_of("vm-1"))

    def test_a_vm_missing_from_the_list_stays_live(self):
        self.view.receive(builders.ping(1), 0.0)
        self.view.set_listed([])
        self.assertIs(State.LIVE, self.view.state_of("vm-1"))

    def test_a_late_list_does_not_mark_the_next_process_leaving(self):
        self.view.receive(builders.ping(1), 0.0)
        self.view.set_listed([self.listed(1, leaving=True)])
        self.assertIs(State.LEAVING, self.view.state_of("vm-1"))
        entry = builders.entry(1, incarnation=2)
        self.view.receive(builders.ping(1, sender=entry), 60.0)
        self.view.set_listed([self.listed(1, leaving=True)])
        self.assertIs(State.LIVE, self.view.state_of("vm-1"))

    def test_an_old_entry_does_not_revive_a_gone_vm(self):
        alive = builders.entry(1)
        gone = alive._replace(liveness=messages.Liveness.GONE)
        self.view.merge([alive, gone], 0.0)
        self.view.merge([alive], 1.0)
        self.assertIs(State.GONE, self.view.state_of("vm-1"))

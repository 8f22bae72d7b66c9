"""The limit of an instance over a fleet of VMs whose views may differ."""

import random

import testtools

from primrosemill.decisions import home_vms
from primrosemill.decisions import limit_shares
from tests.builders import limits
from tests.builders import load

SETTLE_TIME = limit_shares.VIEW_SETTLE_TIME
# Times after a cut at which the VMs notice that others are gone.
NOTICE_TIME = 2.0  # seconds
ALONE_NOTICE_TIME = 5.0  # seconds, for a VM that is cut off from all others


class LimitCase(testtools.TestCase):
    def assert_kept(self, fleet, limit, start=limits.STABLE_WINDOW):
        self.assertLessEqual(
            limits.most_in_window(fleet.arrived_at, start),
            limits.allowed(limit),
        )


class SteadyFleetTest(LimitCase):
    def test_fleet_keeps_to_the_limit_and_uses_most_of_it(self):
        for limit in (0.5, 1.0, 2.2, 3.0, 7.0, 20.0):
            fleet = limits.Fleet(6, limit)
            fleet.play(20.0)
            self.assert_kept(fleet, limit)
            late = [time for time in fleet.arrived_at if time >= 10.0]
            self.assertGreater(len(late), 0.8 * limit * 10.0 - 1, limit)

    def test_limit_of_zero_gets_a_rare_trial_and_no_more(self):
        fleet = limits.Fleet(6, 0.0)
        fleet.play(90.0)
        late = [
            time for time in fleet.arrived_at if time >= limits.STABLE_WINDOW
        ]
        self.assertGreater(len(late), 0)
        self.assertLess(len(late), 8)

    def test_changed_limit_holds(self):
        fleet = limits.Fleet(6, 20.0)
        fleet.play(10.0)
        fleet.limit = 1.0
        fleet.play(10.0)
        self.assert_kept(fleet, 1.0, 10.0 + 2 * limits.SERVICE_TIME)
        fleet.limit = 7.0
        fleet.play(10.0)
        self.assert_kept(fleet, 7.0, 20.0)

    def test_dropped_limit_ends_everywhere(self):
        fleet = limits.Fleet(6, 2.0)
        fleet.play(10.0)
        fleet.limit = None
        fleet.play(10.0)
        for vm in fleet.vms_by_id.values():
            selector = vm.allocation.selector
            self.assertIsNone(selector.limits.rate(fleet.record))

    def test_limit_that_ends_and_returns_holds(self):
        fleet = limits.Fleet(6, 2.0)
        for cycle in range(4):
            fleet.limit = 2.0
            fleet.play(8.0)
            self.assert_kept(fleet, 2.0, cycle * 12.0 + limits.STABLE_WINDOW)
            fleet.limit = None
            fleet.play(4.0)
            fleet.arrived_at.clear()


class ChangingFleetTest(LimitCase):
    # Guards against a limit that is used twice while two VMs, or two sides
    # of a cut, each take themselves for its only holder.
    def find_holder(self, fleet, limit):
        (holder,) = [
            vm
            for vm in fleet.vms_by_id.values()
            if vm.shares.share(fleet.record, limit, fleet.now)
        ]
        return holder

    def test_crash_and_restart_of_the_holder(self):
        fleet = limits.Fleet(6, 1.0)
        fleet.play(5.0)
        holder = self.find_holder(fleet, 1.0)
        others = [each for each in fleet.vms_by_id if each != holder.id]
        for _ in range(5):
            holder.running = False
            fleet.play(NOTICE_TIME)
            for vm_id in others:
                fleet.vms_by_id[vm_id].see(others, fleet.now, 1)
            fleet.restart(holder.id)
            holder.see(list(fleet.vms_by_id), fleet.now)
            fleet.play(0.5)
            for vm_id in others:
                fleet.vms_by_id[vm_id].see(list(fleet.vms_by_id), fleet.now)
            fleet.play(SETTLE_TIME + 1.0)
        self.assert_kept(fleet, 1.0)

    def test_planned_stop_hands_the_limit_over(self):
        fleet = limits.Fleet(6, 1.0)
        fleet.play(5.0)
        holder = self.find_holder(fleet, 1.0)
        others = [each for each in fleet.vms_by_id if each != holder.id]
        holder.see([], fleet.now)
        for vm_id in others:
            fleet.vms_by_id[vm_id].see(others, fleet.now)
            fleet.play(0.2)
        fleet.play(SETTLE_TIME + 10.0)
        self.assert_kept(fleet, 1.0)
        self.assertGreater(fleet.arrived_at[-1], fleet.now - 2.0)

    def test_holder_is_cut_off(self):
        for limit in (1.0, 3.0):
            fleet = limits.Fleet(6, limit)
            fleet.play(5.0)
            alone = max(
                fleet.vms_by_id.values(),
                key=lambda vm: vm.shares.share(fleet.record, limit, 5.0),
            )
            self.cut(fleet, {alone.id}, 20.0)
            self.assert_kept(fleet, limit)

    def test_fleet_is_cut_in_two_and_three(self):
        for limit in (1.0, 3.0, 8.0):
            for parts in (2, 3):
                fleet = limits.Fleet(9, limit)
                fleet.play(5.0)
                ids = list(fleet.vms_by_id)
                for part in range(1, parts):
                    self.cut(fleet, set(ids[part::parts]), 15.0)
                self.assert_kept(fleet, limit)
                late = [
                    time for time in fleet.arrived_at if time > fleet.now - 5.0
                ]
                self.assertGreater(len(late), limit)

    def cut(self, fleet, cut_off, seconds):
        """Cut some VMs off from the others, which both sides notice late."""
        kept_touch = fleet.are_in_touch
        fleet.are_in_touch = lambda first, second: (
            kept_touch(first, second)
            and (first in cut_off) == (second in cut_off)
        )
        fleet.play(NOTICE_TIME)
        self.notice(
            fleet, [each for each in fleet.vms_by_id if each not in cut_off]
        )
        fleet.play(ALONE_NOTICE_TIME - NOTICE_TIME)
        self.notice(fleet, sorted(cut_off))
        fleet.play(seconds)

    def notice(self, fleet, vm_ids):
        count = len(fleet.vms_by_id)
        for vm_id in vm_ids:
            seen = [
                each
                for each in fleet.vms_by_id
                if each == vm_id or fleet.are_in_touch(vm_id, each)
            ]
            fleet.vms_by_id[vm_id].see(seen, fleet.now, count - len(seen))

    def test_random_changes_of_differing_views(self):
        """All VMs see the same changes, each up to the settle time late."""
        for seed in range(5):
            generator = random.Random(seed)
            fleet = limits.Fleet(8, 2.0, seed)
            fleet.play(5.0)
            ids = list(fleet.vms_by_id)
            for _ in range(8):
                gone = generator.sample(ids, generator.randrange(4))
                present = [each for each in ids if each not in gone]
                fleet_ids = ids.copy()
                generator.shuffle(fleet_ids)
                for vm_id in fleet_ids:
                    seen = [] if vm_id in gone else present
                    fleet.vms_by_id[vm_id].see(seen, fleet.now)
                    fleet.play(0.8 * SETTLE_TIME / len(ids))
                fleet.play(generator.uniform(0.0, 3.0))
            self.assert_kept(fleet, 2.0)


class SharesTest(testtools.TestCase):
    POINTS = tuple(
        home_vms.Vm(f"vm-{number}", load.DOMAIN) for number in range(4)
    )
    INSTANCE = load.Instance(0).record

    def shares(self, vm_id, view, now=0.0):
        shares = limit_shares.LimitShares(vm_id)
        shares.set_view(view, now)
        return shares

    def view(self, **changes):
        view = limit_shares.View({load.DOMAIN: self.POINTS}, 4)
        return view._replace(**changes)

    def sum(self, rate, view, now=SETTLE_TIME):
        return sum(
            self.shares(vm.id, view).share(self.INSTANCE, rate, now)
            for vm in self.POINTS
        )

    def test_shares_add_up_to_the_fraction_that_is_seen(self):
        for rate in (0.0, 0.3, 1.0, 2.2, 3.9, 50.0):
            self.assertAlmostEqual(1.0, self.sum(rate, self.view()))
            lossy = self.view(lost_count=12)
            self.assertAlmostEqual(0.25, self.sum(rate, lossy))

    def test_part_of_a_vm_is_at_least_one_request_per_second(self):
        for rate, holders in ((0.3, 1), (1.0, 1), (2.2, 2), (50.0, 4)):
            ids = limit_shares.rank_holders(self.INSTANCE, self.POINTS, rate)
            self.assertEqual(holders, len(ids), rate)

    def test_new_process_has_no_share_until_its_view_has_settled(self):
        self.assertEqual(0.0, self.sum(4.0, self.view(), 0.0))
        self.assertEqual(0.0, self.sum(4.0, self.view(), 0.9 * SETTLE_TIME))
        self.assertEqual(1.0, self.sum(4.0, self.view(), SETTLE_TIME))

    def test_share_falls_at_once_and_rises_late(self):
        shares = self.shares("vm-0", self.view())
        self.assertEqual(0.25, shares.share(self.INSTANCE, 4.0, 5.0))
        shares.set_view(self.view(lost_count=4), 6.0)
        self.assertEqual(0.125, shares.share(self.INSTANCE, 4.0, 6.0))
        shares.set_view(self.view(), 7.0)
        self.assertEqual(0.125, shares.share(self.INSTANCE, 4.0, 9.9))
        self.assertEqual(0.25, shares.share(self.INSTANCE, 4.0, 10.0))

    def test_vm_that_is_no_entry_point_has_no_share(self):
        shares = self.shares("vm-9", self.view())
        self.assertEqual(0.0, shares.share(self.INSTANCE, 4.0, 9.0))
        elsewhere = self.INSTANCE._replace(domain="nowhere")
        shares = self.shares("vm-0", self.view())
        self.assertEqual(0.0, shares.share(elsewhere, 4.0, 9.0))

    def test_one_vm_informs_the_others(self):
        informing = [
            vm.id
            for vm in self.POINTS
            if self.shares(vm.id, self.view()).is_first_holder(self.INSTANCE)
        ]
        self.assertEqual(1, len(informing))

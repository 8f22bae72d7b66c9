import testtools

from primrosemill.fleet import outages


class OutagesTest(testtools.TestCase):
    def test_lost_readers_of_one_domain_are_no_outage(self):
        """DRAIN on scale-2 of Atlas.

        The readers of one failure domain were cut off, those of the others
        read on; an instance that was removed then stayed in use for 2 s.
        """
        watched = outages.Outages(0.0)
        for tenth in range(20):
            watched.note_reader(tenth / 10)
        watched.note_answer(2.0)
        self.assertEqual(0.0, watched.retain(2.0))

    def test_after_an_outage_removed_instances_stay_for_a_moment(self):
        watched = outages.Outages(0.0)
        watched.note_answer(4.0)
        self.assertEqual(2.0, watched.retain(4.0))
        watched.note_answer(4.5)
        self.assertEqual(1.5, watched.retain(4.5))
        self.assertEqual(0.0, watched.retain(6.0))

    def test_a_short_gap_between_answers_is_no_outage(self):
        watched = outages.Outages(0.0)
        watched.note_answer(0.9)
        self.assertEqual(0.0, watched.retain(0.9))

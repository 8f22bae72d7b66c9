import testtools

from primrosemill.fleet import outage_detector


class OutageDetectorTest(testtools.TestCase):
    def test_the_loss_of_the_readers_of_one_domain_is_no_outage(self):
        """Guards against taking lost readers of one domain for an outage.

        The readers of one failure domain were cut off while those of the
        other domains went on reading. An instance that was removed then
        stayed in use for 2 s too long.
        """
        detector = outage_detector.OutageDetector(0.0)
        for tenth in range(20):
            detector.record_reader(tenth / 10)
        detector.record_answer(2.0)
        self.assertEqual(0.0, detector.retention_time(2.0))

    def test_removed_instances_are_retained_for_2_s_after_an_outage(self):
        detector = outage_detector.OutageDetector(0.0)
        detector.record_answer(4.0)
        self.assertEqual(2.0, detector.retention_time(4.0))
        detector.record_answer(4.5)
        self.assertEqual(1.5, detector.retention_time(4.5))
        self.assertEqual(0.0, detector.retention_time(6.0))

    def test_a_short_gap_between_answers_is_no_outage(self):
        detector = outage_detector.OutageDetector(0.0)
        detector.record_answer(0.9)
        self.assertEqual(0.0, detector.retention_time(0.9))

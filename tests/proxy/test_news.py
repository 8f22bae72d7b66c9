import testtools
import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import belief as beliefs
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from primrosemill.proxy import learned
from primrosemill.proxy import news
from tests.builders import fleet

HOME = ("vm-1", "vm-2")
FAR = ("vm-8", "vm-9", *HOME)


class Recipients:
    def told_of(self, domain):
        return FAR

    def told_at_home(self):
        return HOME


def changed(
    failed=True, shared=True, before=0.9, after=0.2, domain="a", number=0
):
    instance = documents.Instance(
        f"i-{number}", "10.0.0.1", 80, domain, boot=7
    )
    return learned.Changed(
        "reservations",
        instance,
        beliefs.Change(instance.id, before, after),
        "status_500",
        failed,
        shared,
        0.0,
    )


class NewsTest(testtools.TestCase):
    def told(self, *steps, good=False):
        """Return what is sent after some (time, change) steps."""
        sent = []

        async def tell(message, vm_ids):
            sent.append((message, tuple(vm_ids)))

        async def main():
            made = news.News("a", Recipients())
            for at, change in steps:
                made.note(change, at)
            send = made.send_good_answers if good else made.send_messages
            with trio.move_on_after(0.3 if good else 0.05):
                await send(tell)

        trio.run(main)
        return sent

    def test_a_failure_that_matters_is_told_in_all_domains(self):
        ((message, told_ids),) = self.told((1.0, changed()))
        self.assertEqual(FAR, told_ids)
        (sighting,) = message.sightings
        self.assertIs(messages.Seen.FAILED, sighting.seen)
        self.assertEqual(
            ("reservations", "i-0", 7, 1_000), sighting[:3] + sighting[4:]
        )

    def test_one_that_is_probably_ordinary_stays_at_home(self):
        ((_, told_ids),) = self.told((1.0, changed(after=0.85)))
        self.assertEqual(HOME, told_ids)

    def test_what_a_peer_told_is_not_passed_on(self):
        self.assertEqual([], self.told((1.0, changed(shared=False))))

    def test_an_instance_that_is_avoided_is_not_told_of_at_each_failure(self):
        again = changed(before=0.2, after=0.1)
        steps = [(1.0, changed()), (1.1, again), (1.2, again), (1.4, again)]
        self.assertEqual(2, len(self.told(*steps)))

    def test_what_crosses_does_not_grow_with_the_failures(self):
        """A quarter of a service fails at once, seen by one VM."""
        steps = [(1.0 + n / 50, changed(number=n)) for n in range(50)]
        sent = self.told(*steps)
        self.assertEqual(50, len(sent))
        wide = [told_ids for _, told_ids in sent if told_ids == FAR]
        self.assertLess(len(wide), 5)

    def test_good_answers_at_home_are_told_together(self):
        steps = [(1.0, changed(failed=False, number=n)) for n in range(3)]
        steps += [(1.0, changed(failed=False, domain="b", number=9))]
        ((message, told_ids),) = self.told(*steps, good=True)
        self.assertEqual(HOME, told_ids)
        ids = [each.instance_id for each in message.sightings]
        self.assertEqual(["i-0", "i-1", "i-2"], ids)

    def test_not_where_a_peer_has_just_told_of_the_instance(self):
        good = changed(failed=False)
        steps = [(1.0, good._replace(shared=False)), (1.1, good)]
        self.assertEqual([], self.told(*steps, good=True))

    def test_long_names_fit_a_datagram(self):
        steps = []
        for number in range(40):
            each = changed(failed=False, number=number)
            instance = each.instance._replace(id=f"{number:064d}")
            steps.append(
                (1.0, each._replace(service="s" * 64, instance=instance))
            )
        sealer = fleet.sealer(0)
        sent = self.told(*steps, good=True)
        for message, _ in sent:
            size = len(sealer.seal(message))
            self.assertLess(size, wire.DATAGRAM_SIZE_LIMIT)
        self.assertTrue(sent)

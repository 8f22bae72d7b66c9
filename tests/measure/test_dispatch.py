import click
import testtools

from primrosemill import measure
from primrosemill.measure import __main__ as dispatch


class ModuleGroupTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group = dispatch.ModuleGroup(measure)
        self.context = click.Context(self.group)

    def test_an_unknown_name_gives_no_command(self):
        self.assertIsNone(self.group.get_command(self.context, "absent"))

    def test_every_listed_name_gives_a_command(self):
        for name in self.group.list_commands(self.context):
            command = self.group.get_command(self.context, name)
            self.assertIsInstance(command, click.Command)

import pathlib
import re

from click import testing
import testtools

from primrosemill.cli import exits
from primrosemill.cli import main

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "command-line.md"

COMMANDS = [
    main.main.get_command(None, name) for name in main.MODULES_BY_COMMAND
]


class CommandLinePageTest(testtools.TestCase):
    def test_the_page_lists_every_command(self):
        names = re.findall(r"^\| `primrosemill (\w+)", PAGE.read_text(), re.M)
        self.assertEqual(list(main.MODULES_BY_COMMAND), names)

    def test_the_page_mentions_every_option(self):
        for command in COMMANDS:
            for parameter in command.params:
                if parameter.param_type_name == "option":
                    self.assertIn(parameter.opts[0], PAGE.read_text())

    def test_the_page_and_every_help_text_list_the_exit_statuses(self):
        rows = re.findall(
            r"^\| (\d) \| (\w+(?: \w+)?)", PAGE.read_text(), re.M
        )
        expected = [
            (str(status.value), status.name.lower().replace("_", " "))
            for status in exits.Status
        ]
        self.assertEqual(expected, rows)
        for command in COMMANDS:
            result = testing.CliRunner().invoke(
                main.main, [command.name, "--help"]
            )
            self.assertIn(exits.HELP, result.output)
            self.assertGreater(len(command.get_short_help_str()), 10)

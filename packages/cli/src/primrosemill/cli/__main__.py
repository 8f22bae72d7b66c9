"""Runs the command line as ``python -m primrosemill.cli``."""

from primrosemill.cli import startup

if __name__ == "__main__":
    startup.run()

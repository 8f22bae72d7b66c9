"""Runs the command line as ``python -m primrosemill.cli``."""

from primrosemill.cli import main

if __name__ == "__main__":
    main.main(prog_name="primrosemill")

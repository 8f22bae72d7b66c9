"""Command line of primrosemill."""

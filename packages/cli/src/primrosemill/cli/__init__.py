"""Offers the primrosemill command line."""

"""Translates between the platform of the users and the product."""

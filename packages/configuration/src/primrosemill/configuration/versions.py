"""Decides whether an offered version may replace the one in force.

A version only ever rises, whatever the source: the store may serve a stale
view, and a peer may have slept.
"""

import expression

from primrosemill.configuration import document as documents
from primrosemill.configuration import faults


def is_news(version_in_force: int, offered_version: int) -> bool:
    """Tell whether an offer is worth fetching at all."""
    return offered_version > version_in_force


def accept(
    in_force: documents.Document, offered: documents.Document
) -> expression.Result[documents.Document, faults.Fault]:
    """Return the document that is in force after the offer.

    The same content under the same version is no fault. A fault leaves the
    document in force as it is.
    """
    if offered.fleet != in_force.fleet:
        return expression.Error(
            faults.WrongFleet(in_force.fleet, offered.fleet)
        )
    if offered.version < in_force.version:
        return expression.Error(
            faults.OlderVersion(in_force.version, offered.version)
        )
    if offered.version > in_force.version:
        return expression.Ok(offered)
    if offered.digest != in_force.digest:
        return expression.Error(
            faults.ConflictingVersion(
                in_force.version, in_force.digest, offered.digest
            )
        )
    return expression.Ok(in_force)

"""Decides whether an offered version may replace the one in force.

The version in force never decreases, whatever the source of an offer: the
store may serve a stale view, and a peer may have been suspended.
"""

import expression

from primrosemill.configuration import document as documents
from primrosemill.configuration import faults


def is_newer(version_in_force: int, offered_version: int) -> bool:
    """Tell whether an offered version is newer and worth fetching."""
    return offered_version > version_in_force


def accept(
    in_force: documents.Document, offered: documents.Document
) -> expression.Result[documents.Document, faults.Fault]:
    """Return the document that is in force after an offer.

    An offer of the same version with the same content is not a fault. If a
    fault is returned, the document in force stays.
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

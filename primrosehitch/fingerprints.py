"""Fingerprints by which a request is known when it comes again.

Each attempt of a caller has an identifier of its own. The fingerprint stays
the same as long as method, path, query, caller and body do.
"""

import hashlib

from primrosehitch import httpserver

# Tells fingerprints from the identifiers of prompt parts.
PREFIX = "request/"
HASH_BYTES = 16


def request_fingerprint(request: httpserver.Request, caller: str) -> str:
    """Return the fingerprint of a request.

    Args:
        request: the request.
        caller: the customer, or empty on a public route.
    """
    hasher = hashlib.blake2b(digest_size=HASH_BYTES)
    for field in (
        request.method.encode("latin-1"),
        request.target,
        caller.encode(),
        request.body_hash,
    ):
        # The length keeps two requests apart whose fields only join alike.
        hasher.update(b"%d:" % len(field))
        hasher.update(field)
    return PREFIX + hasher.hexdigest()


def is_fingerprint(identifier: str) -> bool:
    """Return whether this is a request's fingerprint, not a prompt part."""
    return identifier.startswith(PREFIX)


__all__ = ["is_fingerprint", "request_fingerprint"]

"""Digest of a configuration document, which both planes use to tell two documents of one version apart."""

from __future__ import annotations

import hashlib

DIGEST_SIZE = 16  # bytes


def digest_of(document: bytes) -> bytes:
    """Return the BLAKE2b digest (RFC 7693) of a document, `DIGEST_SIZE` bytes long."""
    return hashlib.blake2b(document, digest_size=DIGEST_SIZE).digest()

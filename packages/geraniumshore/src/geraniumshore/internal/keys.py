"""Caller keys: generated once for the caller, stored only as salted digests."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass

from geraniumshore.internal.items import Key

__all__ = ["GeneratedKey", "make_key", "verify_key"]

# Compared with when a key id is unknown, so that known and unknown ids take as long.
_UNKNOWN_KEY = Key(team="none", salt="0" * 32, digest="0" * 64)


@dataclass(frozen=True, slots=True)
class GeneratedKey:
    """A new key: ``bearer`` is for the caller, ``key`` for a release note."""

    key_id: str
    bearer: str
    key: Key


def make_key(key_id: str, team: str, secret: str, salt: str) -> GeneratedKey:
    """Build the key ``key_id`` of ``team`` from a random secret and salt, in hex."""
    digest = _digest(salt, secret)
    return GeneratedKey(key_id, f"{key_id}.{secret}", Key(team, salt, digest))


def verify_key(keys: Mapping[str, Key], bearer: str) -> str | None:
    """Return the team of ``bearer``, or None if the key is not in force."""
    key_id, _, secret = bearer.rpartition(".")
    key = keys.get(key_id)
    expected = key or _UNKNOWN_KEY
    matches = hmac.compare_digest(_digest(expected.salt, secret), expected.digest)
    return key.team if key is not None and matches else None


def _digest(salt: str, secret: str) -> str:
    return hmac.new(bytes.fromhex(salt), secret.encode(), hashlib.sha256).hexdigest()

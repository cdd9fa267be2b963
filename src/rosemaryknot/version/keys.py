"""Generation, storage format and verification of API keys."""

import hashlib
import hmac
import secrets
from collections.abc import Mapping

from rosemaryknot.version.tables import KeyEntry

__all__ = ["key_digest", "new_key", "new_operator_key", "verified_entry"]

KEY_ID_BYTES = 6
SECRET_BYTES = 32
SALT_BYTES = 16
UNKNOWN_KEY = KeyEntry(bytes(SALT_BYTES), "0" * 64)


def key_digest(salt: bytes, secret: str) -> str:
    """Return the salted digest that is stored for a secret.

    Secrets are random and long, so one round of SHA-256 is enough.
    """
    return hashlib.sha256(salt + secret.encode()).hexdigest()


def verified_entry(keys: Mapping[str, KeyEntry], api_key: str) -> KeyEntry | None:
    """Return the stored entry of an API key if its secret is correct.

    Parameters
    ----------
    keys : Mapping of str to KeyEntry
        Stored keys by key id.
    api_key : str
        ``<key id>.<secret>``.

    Returns
    -------
    entry : KeyEntry or None
        None for an invalid key.
    """
    key_id, _, secret = api_key.partition(".")
    # An unknown key id takes the same digest and comparison as a known one, so that
    # the response time does not reveal which ids exist.
    entry = keys.get(key_id, UNKNOWN_KEY)
    digest = key_digest(entry.salt, secret)
    is_match = hmac.compare_digest(digest.encode(), entry.sha256.encode())
    return entry if is_match and entry is not UNKNOWN_KEY else None


def generate_key() -> tuple[str, str, dict[str, str]]:
    """Return a new API key, its id and the fields to be stored."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    stored = {"salt": salt.hex(), "sha256": key_digest(salt, secret)}
    return f"{key_id}.{secret}", key_id, stored


def new_key(customer: str) -> tuple[str, dict[str, dict[str, str]]]:
    """Generate an API key for a customer.

    Parameters
    ----------
    customer : str
        Name of the customer.

    Returns
    -------
    api_key : str
        Key to hand to the customer; it is not stored.
    stored : dict
        Entry for the ``keys`` of the document, by key id.
    """
    api_key, key_id, stored = generate_key()
    return api_key, {key_id: {**stored, "customer": customer}}


def new_operator_key(
    operator: str, role: str = "viewer"
) -> tuple[str, dict[str, dict[str, str]]]:
    """Generate an API key for an operator; see `new_key`."""
    api_key, key_id, stored = generate_key()
    return api_key, {key_id: {**stored, "operator": operator, "role": role}}

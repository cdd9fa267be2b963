"""API keys: how they are made, stored and checked."""

import hashlib
import hmac
import secrets
from collections.abc import Mapping

from rosemaryknot.version.tables import KeyEntry

__all__ = ["key_digest", "new_key", "new_operator_key", "proven_entry"]

KEY_ID_BYTES = 6
SECRET_BYTES = 32
SALT_BYTES = 16
NO_KEY = KeyEntry(bytes(SALT_BYTES), "0" * 64)


def key_digest(salt: bytes, secret: str) -> str:
    """Return the digest that a stored key holds.

    Secrets are random and long, so one round of SHA-256 is enough.
    """
    return hashlib.sha256(salt + secret.encode()).hexdigest()


def proven_entry(keys: Mapping[str, KeyEntry], api_key: str) -> KeyEntry | None:
    """Return the stored key that an API key proves.

    Parameters
    ----------
    keys : Mapping of str to KeyEntry
        Stored keys by key id.
    api_key : str
        ``<key id>.<secret>``.

    Returns
    -------
    entry : KeyEntry or None
        None for a wrong key.
    """
    key_id, _, secret = api_key.partition(".")
    # An unknown key id costs the same digest and comparison as a known one, so
    # that the time of an answer does not tell which ids exist.
    entry = keys.get(key_id, NO_KEY)
    digest = key_digest(entry.salt, secret)
    is_right = hmac.compare_digest(digest.encode(), entry.sha256.encode())
    return entry if is_right and entry is not NO_KEY else None


def new_secret() -> tuple[str, str, dict[str, str]]:
    """Return a new API key, its id and the part that is stored."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    stored = {"salt": salt.hex(), "sha256": key_digest(salt, secret)}
    return f"{key_id}.{secret}", key_id, stored


def new_key(customer: str) -> tuple[str, dict[str, dict[str, str]]]:
    """Make an API key for a customer.

    Parameters
    ----------
    customer : str
        Name of the customer.

    Returns
    -------
    api_key : str
        To be handed to the customer; stored nowhere.
    stored : dict
        One entry for the ``keys`` of the document, by its key id.
    """
    api_key, key_id, stored = new_secret()
    return api_key, {key_id: {**stored, "customer": customer}}


def new_operator_key(
    operator: str, role: str = "viewer"
) -> tuple[str, dict[str, dict[str, str]]]:
    """Make an API key for an operator; see `new_key`."""
    api_key, key_id, stored = new_secret()
    return api_key, {key_id: {**stored, "operator": operator, "role": role}}

"""Authentication of customers by API key."""

from rosemaryknot.values.outcomes import NotRun, Reason
from rosemaryknot.version.view import ConfigurationView, Customer

__all__ = ["authenticate"]

SCHEME = "bearer"
NO_CONFIGURATION_RETRY_S = 2.0


def authenticate(
    authorization: str | None, view: ConfigurationView | None
) -> Customer | NotRun:
    """Return the customer to whom the API key of a request belongs.

    Parameters
    ----------
    authorization : str or None
        Value of the ``Authorization`` header.
    view : ConfigurationView or None
        Current configuration; None if none is known yet.

    Returns
    -------
    customer : Customer or NotRun
        The customer, or the reason for the refusal.
    """
    if view is None:
        return NotRun(
            Reason.NO_CONFIGURATION,
            NO_CONFIGURATION_RETRY_S,
            "no configuration is known yet",
        )
    scheme, _, api_key = (authorization or "").partition(" ")
    if scheme.lower() != SCHEME or not api_key.strip():
        return NotRun(
            Reason.UNAUTHENTICATED, detail="send 'Authorization: Bearer <API key>'"
        )
    customer = view.customer_for_key(api_key.strip())
    if customer is None:
        return NotRun(Reason.UNAUTHENTICATED, detail="the API key is not known")
    return customer

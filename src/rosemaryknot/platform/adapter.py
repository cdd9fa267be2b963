"""Puts the adapter of the platform together."""

from rosemaryknot.connection.network import Network
from rosemaryknot.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    SERVERS_KIND,
    configuration_of,
    server_of,
)
from rosemaryknot.platform.duties import PlatformDuties
from rosemaryknot.platform.headers import PlatformWire
from rosemaryknot.platform.store import PlatformStore
from rosemaryknot.process.node import Adapter
from rosemaryknot.process.node_settings import NodeSettings

__all__ = ["make_adapter"]

READINESS_PATH = "/v1/readyz"
# The platform's names of duties.
DUTIES = {"usage": "usage", "autoscale": "scaling"}


def make_adapter(settings: NodeSettings, network: Network) -> Adapter:
    """Return the platform's adapter.

    Parameters
    ----------
    settings : NodeSettings
        Where the platform answers; the names of duties become the project's own.
    network : Network
        Where connections come from.
    """
    duties = None
    if settings.cloud is not None:
        names = [DUTIES.get(name, name) for name in settings.cloud.duties]
        settings.cloud.duties = names
        duties = PlatformDuties(network, settings.cloud.address, settings.node)
    return Adapter(
        wire=PlatformWire(),
        store=PlatformStore(network, settings.store.address),
        duties=duties,
        decode_configuration=configuration_of,
        decode_server=server_of,
        configuration_kind=CONFIGURATION_KIND,
        configuration_name=CONFIGURATION_NAME,
        servers_kind=SERVERS_KIND,
        readiness_path=READINESS_PATH,
    )

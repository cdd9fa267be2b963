"""Assembly of the platform's adapter."""

from rosemaryknot.connection.network import Network
from rosemaryknot.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    SERVERS_KIND,
    decode_configuration,
    decode_server,
)
from rosemaryknot.platform.duties import PlatformDuties
from rosemaryknot.platform.headers import PlatformWire
from rosemaryknot.platform.store import PlatformStore
from rosemaryknot.process.node_settings import NodeSettings
from rosemaryknot.process.platform_adapter import Adapter

__all__ = ["make_adapter"]

READINESS_PATH = "/v1/readyz"
# Names of duties by the platform's names. A duty is a task that only the holder of a
# lease performs.
DUTIES = {"usage": "usage", "autoscale": "scaling"}


def make_adapter(settings: NodeSettings, network: Network) -> Adapter:
    """Return the platform's adapter.

    Parameters
    ----------
    settings : NodeSettings
        Settings with the addresses of the platform. The names of duties are replaced
        by those of this project.
    network : Network
        Opens the connections.
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
        decode_configuration=decode_configuration,
        decode_server=decode_server,
        configuration_kind=CONFIGURATION_KIND,
        configuration_name=CONFIGURATION_NAME,
        servers_kind=SERVERS_KIND,
        readiness_path=READINESS_PATH,
    )

"""Settings of a process, loaded from a JSON file and validated as a whole.

The classes define the schema: pydantic uses their annotations, rejects unknown keys
and reports all errors together.
"""

import ipaddress
import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import (
    ConfigDict,
    Field,
    PlainValidator,
    TypeAdapter,
    ValidationError,
    with_config,
)

from rosemaryknot.process.settings_errors import (
    SettingsError,
    check_json,
    convert_errors,
    os_error_text,
)
from rosemaryknot.values.nodes import Address

__all__ = [
    "Limits",
    "Listen",
    "LogSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_address",
    "read_validated",
    "read_secret",
    "require_listeners",
]

MIN_KEY_BYTES = 16
ADDRESS_HINT = "must be an IP number and a port, such as 127.0.0.1:8100"


def parse_address(value: Any) -> Address:
    """Parse an address whose host is an IP address.

    Parameters
    ----------
    value : object
        Value in the settings.

    Returns
    -------
    address : Address
        The parsed address.

    Raises
    ------
    ValueError
        If the value is not such an address.

    Examples
    --------
    >>> parse_address("127.0.0.1:8100")
    Address(host='127.0.0.1', port=8100)
    >>> parse_address("localhost:8100")
    Traceback (most recent call last):
    ValueError: must be an IP number and a port, such as 127.0.0.1:8100
    """
    if not isinstance(value, str):
        raise ValueError(ADDRESS_HINT)
    try:
        address = Address.from_text(value)
        ipaddress.ip_address(address.host)
    except ValueError as error:
        raise ValueError(ADDRESS_HINT) from error
    if not 0 < address.port < 65536:
        raise ValueError(ADDRESS_HINT)
    return address


STRICT = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)
AddressText = Annotated[Address, PlainValidator(parse_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, Field(ge=1)]
Bytes = Annotated[int, Field(ge=1)]
Seconds = Annotated[float, Field(gt=0)]


@with_config(STRICT)
@dataclass(slots=True)
class Listen:
    """Addresses at which a process listens.

    Attributes
    ----------
    callers : Address or None
        API of an entry for callers.
    operators : Address or None
        API of an agent for operators.
    links : Address or None
        Message links of an agent with its entries and peers.
    """

    callers: AddressText | None = None
    operators: AddressText | None = None
    links: AddressText | None = None


@with_config(STRICT)
@dataclass(slots=True)
class LogSettings:
    """Log settings.

    Attributes
    ----------
    format : str
        ``text`` for human readers or ``json`` for programs.
    level : str
        Minimum level of the lines that are written.
    """

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


@with_config(STRICT)
@dataclass(slots=True)
class Limits:
    """Limits that keep one caller or peer from exhausting the process.

    Attributes
    ----------
    max_body_bytes : int
        Maximum size of a request body.
    memory_mb : float
        Memory that an entry may use, in megabytes; request bodies take at most a fifth
        of it.
    body_timeout_s : float
        Maximum time for a caller to send a body, in seconds.
    max_connections : int
        Maximum number of concurrent connections of callers to an entry; the open
        file limit of the process must allow them.
    max_requests_in_flight : int
        Maximum number of concurrent requests at an entry.
    max_generations : int
        Maximum number of accepted model requests that an entry holds, running or
        stored for pick-up.
    kept_answer_s : float
        How long a completed response is stored for pick-up, in seconds.
    not_ready_s : float
        Minimum time for which ``/readyz`` responds with 503 in a graceful shutdown,
        so that the load balancer sees it before connections are refused, in seconds.
    drain_timeout_s : float
        Maximum time for which a graceful shutdown waits for requests in flight, in
        seconds.
    """

    max_body_bytes: Bytes = 1024 * 1024
    memory_mb: Seconds = 160.0
    body_timeout_s: Seconds = 10.0
    max_connections: Count = 4000
    max_requests_in_flight: Count = 1000
    max_generations: Count = 2000
    kept_answer_s: Seconds = 120.0
    not_ready_s: Annotated[float, Field(ge=0)] = 2.0
    drain_timeout_s: Seconds = 600.0


@with_config(STRICT)
@dataclass(slots=True)
class Settings:
    """Settings of one process.

    Attributes
    ----------
    node : str
        Name of the node, which must not change on a restart.
    zone : str
        Availability zone.
    region : str
        Region. Each region has one configuration object.
    listen : Listen
        Addresses at which the process listens.
    agent : Address
        Link address of the agent of the node, to which the entry connects.
    peers : list of Address
        Link addresses of other agents.
    platform : Address
        Address of the HTTP API of the platform.
    cluster_key_file : str or None
        Path of the file with the cluster key, relative to the settings file.
    cluster_key_env : str or None
        Environment variable with the cluster key, if there is no file.
    log : LogSettings
        Log settings.
    limits : Limits
        Limits on the resources that callers and peers use.
    cluster_key : bytes
        Shared secret of the message links; not a setting and never displayed.
    """

    node: Name
    zone: Name
    region: Name
    listen: Listen = field(default_factory=Listen)
    agent: AddressText = Address("127.0.0.1", 8300)
    peers: list[AddressText] = field(default_factory=list)
    platform: AddressText = Address("127.0.0.1", 7000)
    cluster_key_file: str | None = None
    cluster_key_env: str | None = None
    log: LogSettings = field(default_factory=LogSettings)
    limits: Limits = field(default_factory=Limits)
    cluster_key: bytes = field(default=b"", init=False, repr=False, compare=False)


@cache
def settings_adapter() -> TypeAdapter:
    """Return the validator of the settings, created on first use.

    A gateway node never needs it, and creating it took 0.02 s of the 0.4 s of
    processor time for loading a node.
    """
    return TypeAdapter(Settings)


def read_secret(
    file: str | None, env: str | None, folder: Path, name: str
) -> bytes | SettingsError:
    """Read a secret from a file or an environment variable.

    Parameters
    ----------
    file : str or None
        Path of the file, relative to ``folder``.
    env : str or None
        Name of the environment variable, used if no file is given.
    folder : pathlib.Path
        Directory of the settings file.
    name : str
        Name of the secret in the settings, such as ``cluster_key``.

    Returns
    -------
    secret : bytes or SettingsError
        The secret without surrounding whitespace, or why it cannot be read.
    """
    if (file is None) == (env is None):
        return SettingsError(f"{name}_file", f"give either this or {name}_env")
    path = f"{name}_env" if file is None else f"{name}_file"
    if file is None:
        secret = os.environ.get(env, "").encode()
    else:
        try:
            secret = (folder / file).read_bytes()
        except (OSError, ValueError) as error:
            return SettingsError(path, f"cannot be read: {os_error_text(error)}")
    secret = secret.strip()
    if len(secret) < MIN_KEY_BYTES:
        return SettingsError(path, f"must hold at least {MIN_KEY_BYTES} bytes")
    return secret


def require_listeners(settings: Settings, names: Sequence[str]) -> list[SettingsError]:
    """Return an error for each required listener that is missing.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    names : sequence of str
        Required fields of `Listen`.

    Returns
    -------
    errors : list of SettingsError
        Empty if nothing is missing.
    """
    return [
        SettingsError(f"listen.{name}", "is missing; this program needs it")
        for name in names
        if getattr(settings.listen, name) is None
    ]


def read_validated(path: Path | str, adapter: TypeAdapter) -> Any:
    """Read and validate a JSON file.

    Parameters
    ----------
    path : pathlib.Path or str
        The JSON file.
    adapter : pydantic.TypeAdapter
        Validator of the settings class.

    Returns
    -------
    settings : object or list of SettingsError
        Valid settings, or all errors.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return [SettingsError("", f"cannot be read: {os_error_text(error)}")]
    error = check_json(text)
    if error is not None:
        return [error]
    try:
        return adapter.validate_json(text)
    except ValidationError as invalid:
        return convert_errors(invalid)


def load_settings(path: Path | str) -> Settings | list[SettingsError]:
    """Load and validate a settings file.

    Parameters
    ----------
    path : pathlib.Path or str
        The JSON file.

    Returns
    -------
    settings : Settings or list of SettingsError
        Valid settings including the secrets, or all errors.
    """
    path = Path(path)
    settings = read_validated(path, settings_adapter())
    if not isinstance(settings, Settings):
        return settings
    key = read_secret(
        settings.cluster_key_file, settings.cluster_key_env, path.parent, "cluster_key"
    )
    if isinstance(key, SettingsError):
        return [key]
    settings.cluster_key = key
    return settings

"""Settings of a process: a JSON file, checked as a whole.

The classes are the schema: pydantic reads their annotations, refuses unknown keys
and reports all errors at once. A later part adds its limits to `Limits`.
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
    error_text,
    errors_of,
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
    "read_checked",
    "read_secret",
    "require_listeners",
]

MIN_KEY_BYTES = 16
ADDRESS_HINT = "must be an IP number and a port, such as 127.0.0.1:8100"


def parse_address(value: Any) -> Address:
    """Parse an address that names its host by IP number.

    Parameters
    ----------
    value : object
        What the settings hold.

    Returns
    -------
    address : Address
        The parsed address.

    Raises
    ------
    ValueError
        If the value is anything else.

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
    """Where a process listens.

    Attributes
    ----------
    callers : Address or None
        Callers' API of an entry.
    operators : Address or None
        Operators' API of an agent.
    links : Address or None
        Message links of an agent: its entries and its peers.
    """

    callers: AddressText | None = None
    operators: AddressText | None = None
    links: AddressText | None = None


@with_config(STRICT)
@dataclass(slots=True)
class LogSettings:
    """How a process logs.

    Attributes
    ----------
    format : str
        ``text`` for people, ``json`` for programs.
    level : str
        The lowest level that is written.
    """

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


@with_config(STRICT)
@dataclass(slots=True)
class Limits:
    """Bounds that keep one caller or peer from using up the process.

    Attributes
    ----------
    max_body_bytes : int
        Largest request body that is read.
    body_timeout_s : float
        Longest time a caller may take to send a body, in seconds.
    max_connections : int
        Connections of callers that an entry handles at once; the limit on the
        process's open files has to allow them.
    max_requests_in_flight : int
        Requests that an entry works on at once.
    max_generations : int
        Accepted model requests that an entry holds, running or kept for pick-up.
    kept_answer_s : float
        How long a finished answer is held for pick-up, in seconds.
    not_ready_s : float
        How long a planned stop answers ``/readyz`` with 503 at least, so that the
        balancer sees it before connections are refused, in seconds.
    drain_timeout_s : float
        Longest wait of a planned stop for requests in flight, in seconds.
    """

    max_body_bytes: Bytes = 1024 * 1024
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
        Name of the node; the same after a restart.
    zone : str
        Availability zone.
    region : str
        Region; one configuration object each.
    listen : Listen
        Where the process listens.
    agent : Address
        Link address of the node's agent, which the entry dials.
    peers : list of Address
        Link addresses of other agents.
    platform : Address
        The platform's HTTP interface.
    cluster_key_file : str or None
        File that holds the cluster key, relative to the settings file.
    cluster_key_env : str or None
        Environment variable that holds the cluster key, where no file does.
    log : LogSettings
        How the process logs.
    limits : Limits
        Bounds on what callers and peers may use up.
    cluster_key : bytes
        The shared secret of the message links; not a setting, never shown.
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
    """Return what checks them; made where it is used, since a gateway node never does.

    It took 0.02 s of the 0.4 s of processor time that loading a node takes.
    """
    return TypeAdapter(Settings)


def read_secret(
    file: str | None, env: str | None, folder: Path, name: str
) -> bytes | SettingsError:
    """Read a secret from a file or from the environment.

    Parameters
    ----------
    file : str or None
        Path of the file, relative to ``folder``.
    env : str or None
        Name of the environment variable, used where no file is given.
    folder : pathlib.Path
        Folder of the settings file.
    name : str
        The settings' name of the secret, such as ``cluster_key``.

    Returns
    -------
    secret : bytes or SettingsError
        The secret without white space around it, or why there is none.
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
            return SettingsError(path, f"cannot be read: {error_text(error)}")
    secret = secret.strip()
    if len(secret) < MIN_KEY_BYTES:
        return SettingsError(path, f"must hold at least {MIN_KEY_BYTES} bytes")
    return secret


def require_listeners(settings: Settings, names: Sequence[str]) -> list[SettingsError]:
    """Return an error for each listener that a program needs and lacks.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    names : sequence of str
        Fields of `Listen`.

    Returns
    -------
    errors : list of SettingsError
        Empty where nothing is missing.
    """
    return [
        SettingsError(f"listen.{name}", "is missing; this program needs it")
        for name in names
        if getattr(settings.listen, name) is None
    ]


def read_checked(path: Path | str, adapter: TypeAdapter) -> Any:
    """Read a JSON file into checked classes.

    Parameters
    ----------
    path : pathlib.Path or str
        The JSON file.
    adapter : pydantic.TypeAdapter
        Of the classes.

    Returns
    -------
    settings : object or list of SettingsError
        Whole settings, or everything that is wrong.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return [SettingsError("", f"cannot be read: {error_text(error)}")]
    fault = check_json(text)
    if fault is not None:
        return [fault]
    try:
        return adapter.validate_json(text)
    except ValidationError as invalid:
        return errors_of(invalid)


def load_settings(path: Path | str) -> Settings | list[SettingsError]:
    """Load and check a settings file.

    Parameters
    ----------
    path : pathlib.Path or str
        The JSON file.

    Returns
    -------
    settings : Settings or list of SettingsError
        Whole settings with the secrets read, or everything that is wrong.
    """
    path = Path(path)
    settings = read_checked(path, settings_adapter())
    if not isinstance(settings, Settings):
        return settings
    key = read_secret(
        settings.cluster_key_file, settings.cluster_key_env, path.parent, "cluster_key"
    )
    if isinstance(key, SettingsError):
        return [key]
    settings.cluster_key = key
    return settings

"""The settings of one instance, read from a file of JSON with comments.

``load`` checks the file against the settings schema and fills in the
defaults.
"""

import hashlib
import pathlib
from typing import NamedTuple

from primrosehitch import documents
from primrosehitch import errors
from primrosehitch import jsonc


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Peer(NamedTuple):
    """Another instance of the deployment."""

    name: str
    domain: str
    address: Address
    http: Address
    replica: bool
    cell: str


class Outside(NamedTuple):
    """An external system that instances call."""

    address: Address
    token: str


class Settings(NamedTuple):
    """One instance's settings; durations in seconds, sizes in bytes."""

    name: str
    domain: str
    cell: str
    http: Address
    peer: Address
    secret: bytes
    operator_keys: frozenset[str]
    announce_tokens: dict[str, str]
    data_folder: pathlib.Path | None
    bootstrap: bool
    peers: tuple[Peer, ...]
    platform: Outside | None
    usage: Outside | None
    usage_window_s: float
    usage_flush_s: float
    key_freshness_s: float
    drain_grace_s: float
    drain_limit_s: float
    max_body_bytes: int
    max_waiting: int
    log_file: str

    @property
    def replicas_wanted(self) -> int:
        """The number of instances in the deployment with durable state."""
        own = self.data_folder is not None
        return own + sum(peer.replica for peer in self.peers)

    def linked(self, peer: Peer) -> bool:
        """Return whether this instance has links with a peer.

        Instances of one cell are linked with each other, and every
        replica is linked with every instance.
        """
        own = self.data_folder is not None
        return own or peer.replica or peer.cell == self.cell


def parse_address(text: str) -> Address:
    """Return the address parsed from ``ip:port``."""
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(document: documents.Settings, source: str) -> Settings:
    """Check a decoded settings file and return its settings.

    Args:
        document: the decoded file.
        source: the name of the file, for error messages.

    Raises:
        SettingsError: the document violates the schema or names an
            instance twice. The error holds the path in the document.
    """
    jsonc.check(document, "settings", source)
    names = [p["name"] for p in document.get("peers", ())]
    names.append(document["name"])
    if len(set(names)) < len(names):
        raise errors.SettingsError(
            "two instances have the same name",
            "check settings",
            source,
            "$.peers",
        )
    folder = document.get("data_folder")
    return Settings(
        name=document["name"],
        domain=document["domain"],
        cell=document.get("cell", ""),
        http=parse_address(document["http"]),
        peer=parse_address(document["peer"]),
        secret=document["secret"].encode(),
        operator_keys=frozenset(document["operator_keys"]),
        announce_tokens=dict(document.get("announce_tokens", {})),
        data_folder=pathlib.Path(folder) if folder else None,
        bootstrap=document.get("bootstrap", False),
        peers=tuple(_peer(p) for p in document.get("peers", ())),
        platform=_outside(document.get("platform")),
        usage=_outside(document.get("usage")),
        usage_window_s=document.get("usage_window_s", 60),
        usage_flush_s=document.get("usage_flush_s", 1),
        key_freshness_s=document.get("key_freshness_s", 3600),
        drain_grace_s=document.get("drain_grace_s", 2),
        drain_limit_s=document.get("drain_limit_s", 600),
        max_body_bytes=document.get("max_body_bytes", 4 << 20),
        max_waiting=document.get("max_waiting", 512),
        log_file=document.get("log_file", "-"),
    )


def _peer(document: documents.Peer) -> Peer:
    return Peer(
        document["name"],
        document["domain"],
        parse_address(document["address"]),
        parse_address(document["http"]),
        document.get("replica", False),
        document.get("cell", ""),
    )


def _outside(document: documents.Outside | None) -> Outside | None:
    if document is None:
        return None
    address = parse_address(document["address"])
    return Outside(address, document.get("token", ""))


def load(path: pathlib.Path) -> Settings:
    """Read a settings file and return its settings.

    Raises:
        SettingsError: the file is missing, not JSON, or invalid.
    """
    return parse(jsonc.read(path), str(path))


__all__ = [
    "Address",
    "Outside",
    "Peer",
    "Settings",
    "hash_key",
    "load",
    "parse",
    "parse_address",
]

"""Loads ``peer.capnp``; pycapnp only encodes and decodes, its RPC and import hook stay unused."""

import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()
_loaded: Any = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

Datagram: Any = _loaded.Datagram
DecodeError = (capnp.KjException, ValueError, AttributeError)

"""Loads ``peer.capnp``; of pycapnp only the codec is used, not its RPC or import hook."""

import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()
_loaded: Any = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

Datagram: Any = _loaded.Datagram
DecodeError = (capnp.KjException, ValueError, AttributeError)

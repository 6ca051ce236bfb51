"""Minimal valid manifest and settings for tests to modify."""

import hashlib
import json

from cornelgrade import manifest as manifests
from cornelgrade import settings as settings_module
from cornelgrade import validation

TEAM_KEY = "clinic-key"

TEAM = {
    "name": "clinic",
    "key_hashes": [hashlib.sha256(TEAM_KEY.encode()).hexdigest()],
    "priorities": ["nurse"],
}
UPSTREAM = {
    "name": "engine-1",
    "service": "lishe-llm",
    "failure_domain": "dar-ubungo",
    "address": "127.0.0.1:9001",
}
MANIFEST = {
    "services": [{"name": "lishe-llm", "models": ["lishe"]}],
    "models": [{"name": "lishe"}],
    "priorities": [{"name": "nurse", "rank": 0}],
    "teams": [TEAM],
    "upstreams": [UPSTREAM],
}
SETTINGS = {
    "vm": "entry-1",
    "failure_domain": "dar-ubungo",
    "gateway_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "worker_address": "127.0.0.1:8082",
    "platform_url": "http://127.0.0.1:8090",
    "peer_key_file": "peer.key",
}


def manifest(**changes) -> manifests.Manifest:
    return validation.load_manifest(json.dumps({**MANIFEST, **changes}).encode())


def settings(**changes) -> settings_module.Settings:
    raw = json.dumps({**SETTINGS, **changes}).encode()
    return validation.decode(raw, settings_module.Settings)

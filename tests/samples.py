"""Small correct documents that tests change."""

TEAM = {"name": "clinic", "key_hashes": ["a" * 64], "priorities": ["nurse"]}
UPSTREAM = {
    "name": "engine-1",
    "service": "lishe-llm",
    "failure_domain": "dar-ubungo",
    "address": "127.0.0.1:9001",
}
MANIFEST = {
    "services": [{"name": "lishe-llm", "models": ["lishe"]}],
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

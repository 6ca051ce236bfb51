"""Faults of single nodes in the stand-in system."""

import pytest

from cornelgrade.adapters import platform
from cornelgrade.platform.standins import edge_system


@pytest.fixture(params=["silent", "rejected"])
def lose_store(request, monkeypatch):
    """How a worker loses the store: calls get no response, or fail at once."""
    rejected = set()
    limit_call = edge_system.Store._limit_call

    def limited(self, call, *args, **kwargs):
        if edge_system.CURRENT_NODE.get() in rejected:
            raise platform.UnavailableError("rejected", step=call)
        return limit_call(self, call, *args, **kwargs)

    monkeypatch.setattr(edge_system.Store, "_limit_call", limited)

    def lose(system, worker):
        if request.param == "rejected":
            rejected.add(worker)
        else:
            system.nodes[worker].store.silent = True

    return lose

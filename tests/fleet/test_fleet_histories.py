import msgspec
import pytest
from test_manifest_rules import sample

from cornelgrade import manifest
from cornelgrade.policy import manifest_rules
from cornelgrade.services import _manifest_writer, fleet_histories, ports, reconciler
from cornelgrade.standins import platform_store


class FakeConfiguration:
    def current(self):
        return ports.AcceptedManifest(sample(), 1)


async def make_store():
    store = platform_store.MemoryPlatform()
    writer = _manifest_writer.Writer("vm1", store, None)
    first = await writer.put(manifest_rules.encode(sample()), None)
    changed = sample(batch=manifest.BatchPolicy(lean=0.9))
    await writer.put(manifest_rules.encode(changed), first.version)
    standing = reconciler.PublishedStanding("e1", "m version 2", "m version 1", "it is leaving")
    published = reconciler.Published("vm2", 4, 2, 1, (standing,))
    await store.create(reconciler.KIND, "d1", msgspec.json.encode(published))
    return store


@pytest.mark.parametrize(
    ("subject", "sentences"),
    [
        ("manifest/1", ["Accepted at vm1.", "Replaced by version 2."]),
        (
            "manifest/2",
            [
                "Accepted at vm1 in place of version 1.",
                "It is the version that the platform holds.",
            ],
        ),
        ("manifest/9", []),
        (
            "e1/order",
            [
                "Orders are given by vm2 in epoch 4. Wanted: m version 2. Seen: m version 1. "
                "it is leaving."
            ],
        ),
        (
            "p1/order",
            ["Orders are given by vm2 in epoch 4. It runs what manifest version 2 wants."],
        ),
        ("e2/order", []),
        ("clinics/job", []),
    ],
)
async def test_histories_of_manifests_and_orders_are_read_from_the_platform(
    autojump_clock, subject, sentences
):
    histories = fleet_histories.FleetHistories(await make_store(), FakeConfiguration())
    assert [step.sentence for step in await histories.get_steps(subject)] == sentences


async def test_platform_that_is_out_is_said(autojump_clock):
    store = await make_store()
    store.switch(platform_store.Switches(down=True))
    steps = await fleet_histories.FleetHistories(store, FakeConfiguration()).get_steps("manifest/1")
    assert [step.sentence for step in steps] == ["What is recorded cannot be read: down."]

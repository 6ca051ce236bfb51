"""Entries of engines that another writer has filled with odd values."""

import contextlib

import msgspec
import pytest
import trio
from tests.platform import odd_specs

from cornelgrade.adapters import http1_server
from cornelgrade.platform import entries, foreign_json, objects

SOUND = {"service": "s", "address": "127.0.0.1:80", "zone": "z", "state": "ready", "slots": 4}
SOUND_SPEC = msgspec.json.encode(SOUND)


def odd_spec(field, raw):
    return msgspec.json.encode({**SOUND, field: msgspec.Raw(raw)})


def make_object(name, spec, extra=b""):
    meta = b'{"name":"%s","revision":7,"made":3%s}' % (name, extra)
    return b'{"metadata":%s,"spec":%s,"status":null}' % (meta, spec)


DEEP = [odd_specs.nested(n) for n in (5_000, 200_000)]
DEEP += [odd_specs.nested(n, b'{"a":', b"}") for n in (5_000, 200_000)]
ODD_SPECS = [
    *DEEP,
    *(odd_specs.nested(n) for n in (200, 600, 990)),
    *(odd_spec("unknown", raw) for raw in DEEP),
    *(odd_spec("slots", raw) for raw in (b"9" * 400, b"9" * 5_000, b"-1", b"1e400", b"NaN")),
    *(odd_spec("born", raw) for raw in (b"9" * 400, b"-5", b"1" + b"0" * 17)),
]
# Values of fields that are not read, which leave the entry usable.
UNREAD = [
    *(odd_spec("sequence", raw) for raw in (b"9" * 400, b"-1", b"1e400", b"NaN", b"-Infinity")),
    odd_spec("coldRemainingMs", b"9" * 400),
    odd_spec("unknown", rb'"\ud800"'),
    odd_spec("unknown", rb'"\\\ud83d\ude00\udc00"'),
    odd_spec("unknown", b'"\xff"'),
    odd_spec("unknown", b'"x\x00\n"'),
]
ODD_ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1:\u0668\u0660",
    ":80",
    "[]:80",
    "127.0.0.1",
    "a\0b:80",
    "a b:80",
    "\u00e9" * 70 + ":80",
    "a" * 70 + ".example:80",
    "",
]


@contextlib.asynccontextmanager
async def serve(page, events=()):
    """Yield a store client whose list returns a page of these objects, and a watch these events."""

    async def handle(req):
        if "watch" in req.query:
            body = b'{"at":9,"events":[%s]}' % b",".join(b'{"object":%s}' % e for e in events)
        elif req.path.count("/") > 2:
            body = page[0]
        else:
            body = b'{"at":5,"more":false,"items":[%s]}' % b",".join(page)
        await req.respond(200, body)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(http1_server.Server(handle).serve, "127.0.0.1:0")
        yield objects.ObjectStore(address)
        nursery.cancel_scope.cancel()


async def read_all(store):
    """Return the usable upstreams by name, as a snapshot, a watch and single reads show them."""
    snapshot = await store.watch(entries.KIND, after=0)
    watched = await store.watch(entries.KIND, after=1)
    return [
        {s.name: entries.decode(s.name, s.value) for s in changes.items}
        for changes in (snapshot, watched)
    ]


# Guards against an odd entry that hides the others of its page or event, or ends the process.
@pytest.mark.parametrize("spec", ODD_SPECS, ids=range(len(ODD_SPECS)))
async def test_odd_spec_is_left_out_and_hides_no_other_entry(spec):
    listed = [make_object(name, SOUND_SPEC) for name in (b"a", b"c")]
    listed.insert(1, make_object(b"b", spec))
    async with serve(listed, listed) as store:
        for found in await read_all(store):
            assert found["a"] and found["c"]
            assert found["b"] is None


# Guards against leaving out an engine because of fields that nobody reads.
@pytest.mark.parametrize("spec", UNREAD, ids=range(len(UNREAD)))
async def test_odd_value_of_an_unread_field_leaves_the_entry_usable(spec):
    listed = [make_object(b"a", spec), make_object(b"b", SOUND_SPEC)]
    async with serve(listed, listed) as store:
        for found in await read_all(store):
            assert found["a"] and found["b"]


# Guards against metadata that hides the other entries.
@pytest.mark.parametrize("deep", DEEP, ids=range(len(DEEP)))
async def test_deeply_nested_metadata_hides_no_other_entry(deep):
    odd = make_object(b"b", SOUND_SPEC, b',"unknown":' + deep)
    listed = [make_object(b"a", SOUND_SPEC), odd, make_object(b"c", SOUND_SPEC)]
    async with serve(listed, listed) as store:
        for found in await read_all(store):
            assert found["a"] and found["c"]


# Guards against a single read of such an object that ends its process.
async def test_single_read_of_a_deeply_nested_object_returns_no_value():
    async with serve([make_object(b"b", DEEP[1])]) as store:
        stored = await store.get(entries.KIND, "b")
    assert (stored.name, stored.version, stored.value) == ("b", 7, b"null")


# Guards against addresses that can't be connected to, which end the process that tries.
@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
async def test_entry_with_an_odd_address_is_left_out(address):
    assert entries.decode("e", msgspec.json.encode({**SOUND, "address": address})) is None


# Guards against names that can't be sent as a header's value.
@pytest.mark.parametrize("name", ["", "a\r\nb", "a\0", "\u4e00", " a"])
async def test_entry_with_an_odd_name_is_left_out(name):
    assert entries.decode(name, SOUND_SPEC) is None


# Guards against repairs that change other parts, or that take minutes.
async def test_repair_replaces_only_the_deep_part():
    raw = rb'{"a":["[[\"",1,{"b":%s}],"c":"\\\ud800x"}' % odd_specs.nested(200_000)
    decoded = foreign_json.decode(raw, dict, part_depth=3)
    assert decoded == {"a": ['[["', 1, None], "c": "\\\ufffdx"}

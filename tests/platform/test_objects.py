"""The object store client, against a small store that can lose responses."""

import contextlib

import msgspec
import pytest
import trio

from cornelgrade.adapters import http1_server, platform
from cornelgrade.platform import objects


class Store:
    """An in-memory version of the platform's store; faults apply to the next calls.

    :ivar lose: number of writes that take effect without a response.
    :ivar refuse: number of calls that are rejected with 503.
    :ivar page: maximum number of objects in a page.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 10
        self.lose = self.refuse = 0
        self.page = 2
        self.calls: list[tuple[str, str]] = []
        self.raw: dict[str, bytes] = {}
        self.events: list[dict] = []

    async def handle(self, req: http1_server.Exchange) -> None:
        self.calls.append((req.method, req.target.decode()))
        if self.refuse:
            self.refuse -= 1
            await req.respond(503)
            return
        kind, name = (req.path.split("/")[2:] + [""])[:2]
        status, body = getattr(self, f"_{req.method.lower()}")(req, kind, name)
        if self.lose and req.method != "GET":
            self.lose -= 1
            raise http1_server.AbortConnectionError
        await req.respond(status, body if isinstance(body, bytes) else msgspec.json.encode(body))

    def _get(self, req, kind, name):
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if kind in self.raw:
            return 200, self.raw[kind]
        if "watch" in req.query:
            forgotten = int(req.query["watch"]) < 5
            return (410, {}) if forgotten else (200, {"events": self.events, "at": 99})
        names = sorted(n for k, n in self.objects if k == kind and n > req.query.get("after", ""))
        items = [self.objects[kind, n] for n in names[: self.page]]
        return 200, {"items": items, "more": len(names) > self.page, "at": self.revision}

    def _post(self, req, kind, name):
        body = msgspec.json.decode(req.body)
        name = body["metadata"]["name"]
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 200, self._set(kind, name, body["spec"], made=self.revision + 1)

    def _put(self, req, kind, name):
        body = msgspec.json.decode(req.body)
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if found["metadata"]["revision"] != body["metadata"]["revision"]:
            return 409, found
        return 200, self._set(kind, name, body["spec"], found["metadata"]["made"])

    def _delete(self, req, kind, name):
        found = self.objects.get((kind, name))
        if found and found["metadata"]["revision"] != int(req.query["revision"]):
            return 409, found
        self.objects.pop((kind, name), None)
        return 200, {}

    def _set(self, kind, name, spec, made):
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "made": made, "finalizers": []}
        self.objects[kind, name] = {"metadata": meta, "spec": spec, "status": None}
        return self.objects[kind, name]


@contextlib.asynccontextmanager
async def serving():
    store = Store()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(http1_server.Server(store.handle).serve, "127.0.0.1:0")
        yield store, objects.ObjectStore(address)
        nursery.cancel_scope.cancel()


async def test_stored_value_keeps_its_creation_version():
    async with serving() as (_, client):
        made = await client.create("k", "a", b'{"x":1}')
        changed = await client.update("k", "a", b'{"x":2}', made.version)
        got = await client.get("k", "a")
        missing = await client.get("k", "b")
    assert (got.value, got.version, got.created) == (b'{"x":2}', changed.version, made.version)
    assert missing is None


@pytest.mark.parametrize("lose", [1, 2])
async def test_create_succeeds_although_its_response_is_lost(lose):
    async with serving() as (store, client):
        store.lose = lose
        made = await client.create("k", "a", b"1")
        assert made.version == 11
        assert len(store.objects) == 1


async def test_update_succeeds_although_its_response_is_lost():
    async with serving() as (store, client):
        made = await client.create("k", "a", b"1")
        store.lose = 1
        await client.update("k", "a", b"2", made.version)
        assert (await client.get("k", "a")).value == b"2"
        assert store.revision == 12


async def test_conflict_error_carries_the_current_object():
    async with serving() as (_, client):
        await client.create("k", "a", b"1")
        with pytest.raises(platform.ConflictError) as caught:
            await client.create("k", "a", b"2")
    assert caught.value.current.value == b"1"
    assert not caught.value.outcome_unknown


async def test_outcome_of_a_rejected_write_is_known():
    async with serving() as (store, client):
        store.refuse = 1
        with pytest.raises(platform.UnavailableError) as caught:
            await client.create("k", "a", b"1")
    assert not caught.value.outcome_unknown


async def test_outcome_of_a_write_to_an_unreachable_store_is_known():
    with pytest.raises(platform.UnavailableError) as caught:
        await objects.ObjectStore("127.0.0.1:1").create("k", "a", b"1")
    assert not caught.value.outcome_unknown


async def test_watch_from_zero_returns_all_pages():
    async with serving() as (store, client):
        for name in "abcde":
            await client.create("k", name, b"1")
        changes = await client.watch("k", after=0)
    assert [s.name for s in changes.items] == list("abcde")
    assert changes.version == store.revision


async def test_watch_from_a_discarded_revision_is_reset():
    async with serving() as (_, client):
        assert (await client.watch("k", after=3)).reset


async def test_invalid_objects_of_other_clients_are_skipped():
    good = {"metadata": {"name": "a", "revision": 4}, "spec": {"state": "ready"}}
    raw = b'{"items":[%s,{"metadata":7},"text",{"metadata":{"name":"b\xff","revision":1}}],"at":9}'
    async with serving() as (store, client):
        store.raw["servers"] = raw % msgspec.json.encode(good)
        changes = await client.watch("servers", after=0)
    assert [s.value for s in changes.items if s.name == "a"] == [b'{"state":"ready"}']


@pytest.mark.parametrize(
    ("gone", "names", "deleted"),
    [
        ([True, False], ["a"], ()),
        ([False, True], [], ("a",)),
        ([False, True, False], ["a"], ()),
        ([False, False], ["a"], ()),
    ],
)
async def test_last_watch_event_of_an_object_wins(gone, names, deleted):
    async with serving() as (store, client):
        store.events = [
            {"object": {"metadata": {"name": "a", "revision": n}, "spec": n}, "gone": lost}
            for n, lost in enumerate(gone)
        ]
        changes = await client.watch("k", after=9)
    assert [s.name for s in changes.items] == names
    assert changes.deleted == deleted
    assert all(s.version == len(gone) - 1 for s in changes.items)


async def test_outcome_of_a_read_without_a_response_is_known():
    async def abort_connection(req: http1_server.Exchange) -> None:
        raise http1_server.AbortConnectionError

    async with trio.open_nursery() as nursery:
        address = await nursery.start(http1_server.Server(abort_connection).serve, "127.0.0.1:0")
        with pytest.raises(platform.UnavailableError) as caught:
            await objects.ObjectStore(address).get("k", "a")
        nursery.cancel_scope.cancel()
    assert not caught.value.outcome_unknown

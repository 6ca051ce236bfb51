"""The client of the object store, against a small store that loses answers."""

import contextlib

import msgspec
import pytest
import trio

from cornelgrade.adapters import http1_server, platform
from cornelgrade.platform import objects


class Store:
    """Holds objects as the platform's store does; faults apply to the next calls.

    :ivar lose: answers to so many writes are lost after they took effect.
    :ivar refuse: so many calls are refused.
    :ivar page: objects in one page.
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
            await req.answer(503)
            return
        kind, name = (req.path.split("/")[2:] + [""])[:2]
        status, body = getattr(self, f"_{req.method.lower()}")(req, kind, name)
        if self.lose and req.method != "GET":
            self.lose -= 1
            raise http1_server.BrokenOffError
        await req.answer(status, body if isinstance(body, bytes) else msgspec.json.encode(body))

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


async def test_own_values_come_back_and_remember_when_they_were_made():
    async with serving() as (_, client):
        made = await client.create("k", "a", b'{"x":1}')
        changed = await client.update("k", "a", b'{"x":2}', made.version)
        got = await client.get("k", "a")
        missing = await client.get("k", "b")
    assert (got.value, got.version, got.created) == (b'{"x":2}', changed.version, made.version)
    assert missing is None


@pytest.mark.parametrize("lose", [1, 2])
async def test_lost_answer_of_a_create_is_settled_as_the_writers_own(lose):
    async with serving() as (store, client):
        store.lose = lose
        made = await client.create("k", "a", b"1")
        assert made.version == 11
        assert len(store.objects) == 1


async def test_lost_answer_of_an_update_is_settled_as_the_writers_own():
    async with serving() as (store, client):
        made = await client.create("k", "a", b"1")
        store.lose = 1
        await client.update("k", "a", b"2", made.version)
        assert (await client.get("k", "a")).value == b"2"
        assert store.revision == 12


async def test_conflict_shows_what_is_there():
    async with serving() as (_, client):
        await client.create("k", "a", b"1")
        with pytest.raises(platform.ConflictError) as caught:
            await client.create("k", "a", b"2")
    assert caught.value.current.value == b"1"
    assert not caught.value.outcome_unknown


async def test_refused_write_promises_that_nothing_was_done():
    async with serving() as (store, client):
        store.refuse = 1
        with pytest.raises(platform.UnavailableError) as caught:
            await client.create("k", "a", b"1")
    assert not caught.value.outcome_unknown


async def test_store_that_cant_be_reached_promises_that_nothing_was_done():
    with pytest.raises(platform.UnavailableError) as caught:
        await objects.ObjectStore("127.0.0.1:1").create("k", "a", b"1")
    assert not caught.value.outcome_unknown


async def test_watch_from_the_beginning_gives_all_pages():
    async with serving() as (store, client):
        for name in "abcde":
            await client.create("k", name, b"1")
        changes = await client.watch("k", after=0)
    assert [s.name for s in changes.items] == list("abcde")
    assert changes.version == store.revision


async def test_forgotten_history_asks_for_a_new_beginning():
    async with serving() as (_, client):
        assert (await client.watch("k", after=3)).reset


async def test_objects_of_another_writer_are_passed_over_one_by_one():
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
async def test_last_event_of_an_object_decides_whether_it_is_there(gone, names, deleted):
    async with serving() as (store, client):
        store.events = [
            {"object": {"metadata": {"name": "a", "revision": n}, "spec": n}, "gone": lost}
            for n, lost in enumerate(gone)
        ]
        changes = await client.watch("k", after=9)
    assert [s.name for s in changes.items] == names
    assert changes.deleted == deleted
    assert all(s.version == len(gone) - 1 for s in changes.items)


async def test_read_without_an_answer_leaves_nothing_unknown():
    async def break_off(req: http1_server.Exchange) -> None:
        raise http1_server.BrokenOffError

    async with trio.open_nursery() as nursery:
        address = await nursery.start(http1_server.Server(break_off).serve, "127.0.0.1:0")
        with pytest.raises(platform.UnavailableError) as caught:
            await objects.ObjectStore(address).get("k", "a")
        nursery.cancel_scope.cancel()
    assert not caught.value.outcome_unknown

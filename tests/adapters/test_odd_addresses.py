"""Connecting to addresses that another writer has left."""

import pytest

from cornelgrade.adapters import engine, http1

ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:-1",
    "127.0.0.1:",
    "127.0.0.1",
    "a\0b:80",
    "\u00e9" * 70 + ":80",
    "a" * 70 + ".example:80",
    "",
]


# Guards against such an address ending the process that tries to connect to it.
@pytest.mark.parametrize("address", ADDRESSES, ids=range(len(ADDRESSES)))
async def test_connecting_to_an_odd_address_fails_without_sending(address):
    with pytest.raises(engine.CallError) as caught:
        (await http1.connect(address, 1.0)).close()
    assert caught.value.progress is engine.Progress.NOT_SENT

"""Starts engines of ``engine.py`` and collects what they tell."""

import json
import pathlib
import subprocess
import threading
import time

import trio

PROGRAM = pathlib.Path(__file__).with_name("engine.py")


class Engine:
    """One engine process."""

    def __init__(self, name: str, events: int, event_s: float, version: str = "v1", port: int = 0,
                 *, unframed: bool = False) -> None:
        self.name, self.version = name, version
        self.told: list[dict] = []
        self._process = subprocess.Popen(
            ["python3", str(PROGRAM), name, str(events), str(event_s), version, str(port)]
            + ["unframed"] * unframed,
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )
        threading.Thread(target=self._collect, daemon=True).start()

    def _collect(self) -> None:
        for line in self._process.stdout:
            self.told.append(json.loads(line))

    async def listens(self) -> dict:
        """Wait until it listens; return what it told then."""
        with trio.fail_after(10):
            while not self.told:
                await trio.sleep(0.02)
        return self.told[0]

    def fall_silent(self, for_s: float) -> None:
        """Let it fall silent for a while and go on."""
        self._process.stdin.write(f"silent {for_s}\n")
        self._process.stdin.flush()

    def running(self) -> int:
        """Return how many runs it has under way, by what it told."""
        begun = {(t["request"], t["after"]) for t in self.told if t["what"] == "begins"}
        ended = {t["request"] for t in self.told if t["what"] in ("ended", "dropped")}
        return sum(1 for request, _ in begun if request not in ended)

    def kill(self) -> None:
        """End it as a crash does."""
        self._process.kill()
        self._process.wait()

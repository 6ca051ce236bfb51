"""Run stand-ins, gateways and workers as real processes on loopback."""

import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import httpx

from cornelgrade.standins import local_ports

HOST = "127.0.0.1"
DOMAINS = ("dar-kariakoo", "dar-msasani", "dar-ubungo")
KEY = "key-of-clinics"
OPERATOR_KEY = "key-of-operators"
START_TIMEOUT_S = 20.0
STARTUP_EVENTS = {"cornelgrade.standins": "event=listening", "cornelgrade": "event=started"}
SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src"


def sha256(text: str) -> str:
    """Return the hash of a key as the manifest and the settings store it."""
    return hashlib.sha256(text.encode()).hexdigest()


class Process:
    """A process whose output goes to a log file; killed when the fleet exits."""

    def __init__(self, name: str, log: pathlib.Path, *args: str) -> None:
        self.name = name
        self.log = log
        self.args = args
        self._start()

    def _start(self) -> None:
        env = {**os.environ, "PYTHONPATH": str(SOURCE)}
        with self.log.open("ab") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self.args], stdout=out, stderr=out, env=env
            )

    def restart(self) -> None:
        """Start the process again with the same arguments."""
        self._start()

    def kill(self) -> None:
        """Kill the process without a shutdown, as the loss of its VM would."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(signal.SIGCONT)
        self._popen.kill()
        self._popen.wait()

    def send(self, signum: int) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(signum)

    def wait(self, timeout_s: float) -> int:
        """Wait until the process exits and return its exit code."""
        return self._popen.wait(timeout_s)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self._popen.poll() is None

    def text(self) -> str:
        """Return the output of the process."""
        return self.log.read_text()

    def wait_for(self, words: str, after: int = 0) -> str:
        """Wait for an output line that contains ``words`` and return it.

        :param after: the number of characters of the output to skip.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            for line in self.text()[after:].splitlines():
                if words in line:
                    return line
            if not self.running:
                break
            time.sleep(0.02)
        raise AssertionError(f"{self.name} did not print {words!r}:\n{self.text()}")


@dataclasses.dataclass(frozen=True)
class Vm:
    """The gateway and worker processes of one VM."""

    name: str
    url: str
    settings: pathlib.Path
    gateway: Process
    worker: Process | None


class Fleet:
    """A complete fleet on loopback; exiting the context kills every process it started.

    :param vms: number of entry VMs, assigned to the failure domains in turn.
    :param engines: number of model engines, assigned likewise.
    :param engine: the engine stand-in's configuration.
    :param versions: software versions of the engines, assigned in turn.
    :param proxied: put a fault proxy in front of each upstream and the platform.
    :param manifest: manifest fields to override.
    """

    def __init__(
        self,
        vms: int = 1,
        engines: int = 3,
        *,
        workers: bool = True,
        engine: dict | None = None,
        versions: tuple[str, ...] = (),
        proxied: bool = False,
        manifest: dict | None = None,
        settings: dict | None = None,
    ) -> None:
        self._process_counts = (vms, engines)
        self._workers = workers
        self._engine_config = engine or {}
        self._versions = versions
        self._proxied = proxied
        self._manifest_changes = manifest or {}
        self._settings_changes = settings or {}
        self.processes: list[Process] = []
        self.vms: list[Vm] = []
        self.upstreams: dict[str, str] = {}
        self.controls: dict[str, str] = {}

    def __enter__(self) -> "Fleet":
        self._stack = contextlib.ExitStack()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        for process in self.processes:
            process.kill()
        self._stack.close()

    # Calls

    def call(self, vm: int = 0, **changes) -> httpx.Client:
        """Return a client with a caller's key for one VM's gateway."""
        headers = {"Authorization": f"Bearer {KEY}", **changes.pop("headers", {})}
        return httpx.Client(
            base_url=self.vms[vm].url, headers=headers, timeout=30.0, trust_env=False, **changes
        )

    def operate(self, vm: int = 0) -> httpx.Client:
        """Return a client with the operator's key for one VM's gateway."""
        return self.call(vm, headers={"Authorization": f"Bearer {OPERATOR_KEY}"})

    def switch(self, name: str, **switches) -> None:
        """Set switches of a stand-in (``platform``, an upstream) or of its ``-proxy``."""
        address = self.controls[name]
        response = httpx.put(f"http://{address}/v1/switches", json=switches, trust_env=False)
        response.raise_for_status()

    def counters(self, name: str) -> dict:
        """Read a stand-in's counters."""
        address = self.controls[name]
        return httpx.get(f"http://{address}/v1/counters", trust_env=False).json()

    def put_manifest(
        self, wanted: dict, if_match: int | None = None, vm: int = 0
    ) -> httpx.Response:
        """Submit a manifest."""
        condition = {"If-Match": f'"{if_match}"'} if if_match is not None else {}
        with self.operate(vm) as client:
            return client.put("/v1/manifest", content=json.dumps(wanted), headers=condition)

    # Start

    def process(self, name: str, *args: str) -> Process:
        """Start a process that is killed when the fleet exits."""
        started = Process(name, self.folder / f"{name}.log", *args)
        self.processes.append(started)
        return started

    def _start_standin(self, name: str, kind: str, *args: str) -> str:
        """Start a stand-in, behind a fault proxy if enabled; :meth:`_start` waits for both."""
        address = self._start_listener(name, kind, *args)
        self.controls[name] = address
        if not self._proxied:
            return address
        control = local_ports.free_port()
        self.controls[f"{name}-proxy"] = f"{HOST}:{control}"
        proxy = (f"{name}-proxy", "proxy", "--target", address, "--control-port", str(control))
        return self._start_listener(*proxy)

    def _start_listener(self, name: str, kind: str, *args: str) -> str:
        port = local_ports.free_port()
        self.process(name, "cornelgrade.standins", kind, "--port", str(port), *args)
        return f"{HOST}:{port}"

    def _start(self) -> None:
        vms, engines = self._process_counts
        self._platform = self._start_standin("platform", "platform")
        for index in range(engines):
            name = f"engine-{index}"
            config = json.dumps(self._engine_config | self._version_of(index))
            self.upstreams[name] = self._start_standin(
                name, "engine", "--name", name, "--config", config
            )
        self.upstreams["refills-0"] = self._start_standin(
            "refills-0", "plain", "--name", "refills-0"
        )
        (self.folder / "peer.key").write_text("ab" * 32)
        ports = [local_ports.free_port() for _ in range(vms)]
        for index in range(vms):
            self._start_vm(index, ports)
        for process in self.processes:
            process.wait_for(STARTUP_EVENTS[process.args[0]])
        self.manifest = self.wanted()
        accepted = self.put_manifest(self.manifest)
        assert accepted.is_success, accepted.text
        self.wait_in_force(1)

    def _start_vm(self, index: int, peer_ports: list[int]) -> None:
        name = f"vm-{index}"
        gateway_port = local_ports.free_port()
        cfg = {
            "vm": name,
            "failure_domain": DOMAINS[index % 3],
            "gateway_address": f"{HOST}:{gateway_port}",
            "peer_address": f"{HOST}:{peer_ports[index]}",
            "worker_address": f"{HOST}:{local_ports.free_port()}",
            "seeds": [f"{HOST}:{port}" for port in peer_ports],
            "platform_url": f"http://{self._platform}",
            "peer_key_file": str(self.folder / "peer.key"),
            "operator_key_hashes": [sha256(OPERATOR_KEY)],
            "drain_grace_s": 0.2,
            **self._settings_changes,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(cfg))
        gateway = self.process(f"{name}-gateway", "cornelgrade", "gateway", str(path))
        worker = None
        if self._workers:
            worker = self.process(f"{name}-worker", "cornelgrade", "worker", str(path))
        self.vms.append(Vm(name, f"http://{HOST}:{gateway_port}", path, gateway, worker))

    def wait_in_force(self, version: int) -> None:
        """Wait until every VM has at least this manifest version in force."""
        end_s = time.monotonic() + START_TIMEOUT_S
        for index in range(len(self.vms)):
            with self.operate(index) as client:
                while time.monotonic() < end_s:
                    response = client.get("/v1/manifest")
                    if (
                        response.status_code == 200
                        and int(response.headers["etag"].strip('"')) >= version
                    ):
                        break
                    time.sleep(0.05)
                else:
                    raise AssertionError(f"vm-{index} has no manifest: {response.text}")

    def _version_of(self, index: int) -> dict[str, str]:
        """Return an engine's version as a field, of its configuration and of the manifest."""
        if not self._versions:
            return {}
        return {"software_version": self._versions[index % len(self._versions)]}

    def wanted(self) -> dict:
        """Return the fleet's manifest."""
        upstreams = [
            {
                "name": name,
                "service": "refills" if name.startswith("refills") else "lishe-llm",
                "failure_domain": DOMAINS[int(name.rsplit("-", 1)[1]) % 3],
                "address": address,
                "slots": self._engine_config.get("slots", 8),
                **(self._version_of(int(name.rsplit("-", 1)[1])) if "engine" in name else {}),
            }
            for name, address in self.upstreams.items()
        ]
        return {
            "services": [
                {"name": "lishe-llm", "models": ["lishe"]},
                {"name": "refills", "kind": "plain", "non_idempotent_routes": ["/confirm"]},
            ],
            "models": [{"name": "lishe"}],
            "priorities": [
                {"name": "urgent", "rank": 0, "price": 4.0},
                {"name": "batch", "rank": 9},
            ],
            "teams": [
                {
                    "name": "clinics",
                    "key_hashes": [sha256(KEY)],
                    "priorities": ["urgent", "batch"],
                    "rate_per_s": 10_000,
                    "burst": 500,
                }
            ],
            "upstreams": upstreams,
            **self._manifest_changes,
        }

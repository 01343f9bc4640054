"""Runs daemons of two builds as one cluster: `python -m soak.mixed_daemons OTHER`.

The other build writes the store's records first. Then this build starts on the same store, members
of both builds share the work, each build takes over all work from the other, and each build's
command-line tool calls the other's daemon. Exits with 1 if an expectation does not hold.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import cyclopts

from foxtrestle.listener import bind, listen
from foxtrestle.standins.hosts import FakeFleet, make_hosts
from foxtrestle.standins.keyvalue import KeyValueEngine
from soak.ports import find_free_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OWN_CHECKOUT: Final = Path(__file__).resolve().parent.parent
"""Checkout of this build."""
SUBNET: Final = 200
"""Third octet of the loopback addresses on which the stand-in hosts listen."""
EXPECTATION_TIMEOUT_S: Final = 30.0
"""Seconds within which the cluster must reach an expected state: several member leases of 6 s."""
SHARD_COUNT: Final = 10
"""Number of shards of a cluster with one region: 8 operation ranges, the fleet, and jobs."""
KEYS_PER_PHASE: Final = 20
"""Number of requests with an idempotency key in each phase."""
CONFIGURATION_TEXT: Final = """
[[teams]]
name = "team-a"
level = 50
quota_cores = 64
[[pools]]
name = "p"
team = "team-a"
hosts = 4
max_unavailable = 2
[[services]]
name = "s"
pool = "p"
port = {port}
"""


class DaemonProcess:
    """One daemon of one build, run as its own process."""

    def __init__(self, name: str, build: Path, folder: Path, platform: int) -> None:
        """Create a daemon that is not started.

        Args:
            name: Name of the daemon.
            build: Checkout of the daemon's build.
            folder: Folder for the daemon's settings and log.
            platform: Port of the platform's stand-in.
        """
        self.build = build
        """Checkout of the daemon's build."""
        self.caller_port = find_free_port()
        """Port for callers."""
        self.admin_port = find_free_port()
        """Port for operators and the command-line tool."""
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            f'name = "{name}"\nzone = "z0"\naddress = "127.0.0.1"\n'
            f'platform = "http://127.0.0.1:{platform}"\n'
            f"caller_port = {self.caller_port}\nadmin_port = {self.admin_port}\n"
            f'peer_port = {find_free_port()}\npeer_token = "peer-token"\n'
            "look_away_s = 0.2\nhost_list_poll_s = 0.2\ndrain_settle_s = 0.3\n"
            "store_writes_per_s = 40.0\n"
            '[admin_tokens]\nann = "operator-token"\n[team_tokens]\nteam-a = "caller-token"\n'
        )

    async def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "foxtrestle.daemon", str(self._settings),
                stdout=log, stderr=log, cwd=self.build,
                env={**os.environ, "PYTHONPATH": str(self.build / "src")},
            )  # fmt: skip

    async def stop(self, signal_number: signal.Signals) -> None:
        """Send a signal and wait until the process has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)
            await self._process.wait()


class Cluster:
    """The daemons, the stand-ins, a client, and the expectations that did not hold."""

    def __init__(self, other: Path, folder: Path) -> None:
        """Create a cluster that is not started.

        Args:
            other: Checkout of the other build.
            folder: Folder for settings and logs.
        """
        self.faults: list[str] = []
        """Expectations that did not hold, one sentence each."""
        self._other = other
        self._folder = folder
        self._platform = find_free_port()
        self._service = find_free_port()
        self._engine = KeyValueEngine()
        self._fleet = FakeFleet(
            make_hosts(6, zones=["z0", "z1"], per_rack=2, subnet=SUBNET), list_lag_s=0.2
        )
        self._answers: dict[str, bytes] = {}
        self._text = CONFIGURATION_TEXT.format(port=self._service)

    async def run(self) -> list[str]:
        """Run all phases; return the expectations that did not hold."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._fleet.serve([self._service]))
            app = self._fleet.build_platform_app(self._engine)
            await stack.enter_async_context(listen(app, [bind("127.0.0.1", self._platform)]))
            self._session = await stack.enter_async_context(aiohttp.ClientSession())
            builds = {"other-1": self._other, "other-2": self._other, "own-1": OWN_CHECKOUT}
            self._daemons = {
                name: DaemonProcess(name, build, self._folder, self._platform)
                for name, build in builds.items()
            }
            for daemon in self._daemons.values():
                stack.push_async_callback(daemon.stop, signal.SIGKILL)
            await self._run_phases()
        return self.faults

    async def _run_phases(self) -> None:
        first, second, own = self._daemons.values()
        await first.start()
        await second.start()
        await self._expect("the other build answers operators", lambda: self._is_synced(second))
        await self._run_tool(OWN_CHECKOUT, second, "apply")
        await self._expect(
            "the other build holds all shards", lambda: self._hold_all_shards(first, second)
        )
        await self._expect("requests reach hosts", lambda: self._serve_requests(first, second))
        await self._send_keys("filled", first, second)
        await second.stop(signal.SIGTERM)
        await own.start()
        await self._expect("both builds are members", lambda: self._share_shards(first, own))
        await self._expect("both builds serve", lambda: self._serve_requests(first, own))
        await self._check_versions(first, own)
        await self._replay(first, own)
        await self._send_keys("mixed", first, own)
        await self._run_tool(self._other, own, "pools")
        await self._run_tool(OWN_CHECKOUT, first, "pools")
        await self._run_tool(self._other, own, "apply", self._text + "# by the other tool\n")
        await first.stop(signal.SIGKILL)
        await self._expect(
            "this build takes over from a killed daemon of the other",
            lambda: self._hold_all_shards(own),
        )
        await self._replay(own)
        await self._send_keys("own", own)
        await first.start()
        await self._expect("the other build joins again", lambda: self._share_shards(first, own))
        await own.stop(signal.SIGTERM)
        await self._expect(
            "the other build takes over from a stopped daemon of this",
            lambda: self._hold_all_shards(first),
        )
        await self._expect("requests reach hosts again", lambda: self._serve_requests(first))
        await self._replay(first)
        repeated = {key: n for key, n in self._fleet.executions.items() if n != 1}
        self._check("each key ran once", not repeated, str(repeated))
        self._check("all keys ran", len(self._fleet.executions) == 3 * KEYS_PER_PHASE)

    def _check(self, text: str, fulfilled: bool, detail: str = "") -> None:
        print(f"{'ok' if fulfilled else 'FAULT'}: {text} {detail}".rstrip(), flush=True)
        if not fulfilled:
            self.faults.append(f"{text} {detail}".rstrip())

    async def _expect(self, text: str, probe: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a probe returns True; record a fault if it does not in time."""
        deadline = time.monotonic() + EXPECTATION_TIMEOUT_S
        fulfilled = await probe()
        while not fulfilled and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            fulfilled = await probe()
        self._check(text, fulfilled)

    async def _get(self, daemon: DaemonProcess, path: str) -> Any:
        url = f"http://127.0.0.1:{daemon.admin_port}{path}"
        headers = {"Authorization": "Bearer operator-token"}
        try:
            async with self._session.get(url, headers=headers) as response:
                return await response.json()
        except (aiohttp.ClientError, ValueError):
            return None

    async def _count_shards(self, daemon: DaemonProcess) -> int:
        status = await self._get(daemon, "/v1/status")
        members = status["members"] if status else []
        return sum(len(row["shards"]) for row in members if row["name"] == status["daemon"])

    async def _is_synced(self, daemon: DaemonProcess) -> bool:
        """Return whether a daemon's mirror of the store is up to date."""
        status = await self._get(daemon, "/v1/status")
        return bool(status and status["store_current"])

    async def _hold_all_shards(self, *daemons: DaemonProcess) -> bool:
        """Return whether these daemons together hold all shards."""
        counts = [await self._count_shards(daemon) for daemon in daemons]
        return sum(counts) == SHARD_COUNT

    async def _share_shards(self, *daemons: DaemonProcess) -> bool:
        """Return whether these daemons hold all shards, and each holds at least three."""
        counts = [await self._count_shards(daemon) for daemon in daemons]
        return min(counts) >= 3 and sum(counts) == SHARD_COUNT

    async def _call(self, daemon: DaemonProcess, key: str = "") -> tuple[int, str, bytes]:
        headers = {"Authorization": "Bearer caller-token"}
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://127.0.0.1:{daemon.caller_port}/s/x"
        try:
            method = "POST" if key else "GET"
            async with self._session.request(method, url, headers=headers) as response:
                outcome = response.headers.get("foxtrestle-outcome", "")
                return response.status, outcome, await response.read()
        except aiohttp.ClientError:
            return 0, "", b""

    async def _serve_requests(self, *daemons: DaemonProcess) -> bool:
        """Return whether each daemon answers a request with success."""
        return all([(await self._call(daemon))[0] == 200 for daemon in daemons])

    async def _send_keys(self, phase: str, *daemons: DaemonProcess) -> None:
        for number in range(KEYS_PER_PHASE):
            key = f"{phase}-{number}"
            for _ in range(100):
                status, _, body = await self._call(daemons[number % len(daemons)], key)
                if status == 200:
                    self._answers[key] = body
                    break
                await asyncio.sleep(0.1)
        sent = [key for key in self._answers if key.startswith(f"{phase}-")]
        self._check(f"requests with a key run ({phase})", len(sent) == KEYS_PER_PHASE)

    async def _replay(self, *daemons: DaemonProcess) -> None:
        """Send each key again to each daemon.

        The answer must equal the first one, or be a refusal whose outcome is not `not-run`: the
        owner of the key's range may no longer have the answer, but has a record that the key was
        used.
        """
        wrong_answers = []
        for daemon in daemons:
            for key, body in self._answers.items():
                status, outcome, again = await self._call(daemon, key)
                if outcome == "not-run" or (status == 200 and again != body):
                    wrong_answers.append(f"{key} {status} {outcome}")
        self._check(
            "keys sent again do not run again", not wrong_answers, str(wrong_answers[:5] or "")
        )

    async def _check_versions(self, *daemons: DaemonProcess) -> None:
        rows = [await self._get(daemon, "/v1/configuration") for daemon in daemons]
        versions = {(r["version"], r["checksum"]) for row in rows for r in row["daemons"]}
        self._check("one version and checksum everywhere", len(versions) == 1, str(versions))

    async def _run_tool(
        self, build: Path, daemon: DaemonProcess, command: str, text: str = ""
    ) -> None:
        arguments = [command]
        if command == "apply":
            path = self._folder / "fleet.toml"
            path.write_text(text or self._text)
            arguments.append(str(path))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "foxtrestle.cli", *arguments,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT, cwd=build,
            env={**os.environ, "PYTHONPATH": str(build / "src"),
                 "FOXTRESTLE_SERVER": f"http://127.0.0.1:{daemon.admin_port}",
                 "FOXTRESTLE_TOKEN": "operator-token"},
        )  # fmt: skip
        output, _ = await process.communicate()
        tool_build = "own" if build == OWN_CHECKOUT else "other"
        daemon_build = "own" if daemon.build == OWN_CHECKOUT else "other"
        detail = "" if process.returncode == 0 else json.dumps(output.decode())
        self._check(
            f"{command} by the {tool_build} tool, {daemon_build} daemon",
            process.returncode == 0,
            detail,
        )


app = cyclopts.App(name="soak.mixed_daemons", help="Run daemons of two builds as one cluster.")


@app.default
def main(other: Path, *, logs: Path | None = None) -> None:
    """Run one cluster of daemons of two builds.

    Args:
        other: Checkout of the other build.
        logs: Folder for the daemons' logs; a temporary one if not given.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = (logs or Path(temporary)).resolve()
        folder.mkdir(parents=True, exist_ok=True)
        faults = asyncio.run(Cluster(other.resolve(), folder).run())
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    app()

"""Fixtures that start scripted operators' servers and run the command."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from dataclasses import dataclass

import pytest
from aiohttp import web

from greengagelatch_cli import submission, waiting
from greengagelatch_cli.__main__ import run


@dataclass(frozen=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str

    @property
    def data(self):
        return json.loads(self.out)


class ScriptedServer:
    """Sends the scripted replies to each call in order, and repeats the last one.

    A reply is ``(status, body)``; ``None`` closes the connection after the call has
    been received.
    """

    def __init__(self) -> None:
        self.script = defaultdict(list)
        self.calls = []
        self.address = ""
        self.called = asyncio.Event()
        self._released = asyncio.Event()
        self._released.set()

    def hold(self) -> None:
        """Send no reply until :meth:`release` is called."""
        self._released.clear()

    def release(self) -> None:
        self._released.set()

    def set_replies(self, call, *replies) -> None:
        self.script[call] = list(replies)

    def list_bodies(self, call):
        return [body for recorded, body in self.calls if recorded == call]

    async def serve(self, request):
        text = await request.text()
        call = f"{request.method} {request.path}"
        self.called.set()
        self.calls.append((call, json.loads(text) if text else dict(request.query)))
        await self._released.wait()
        replies = self.script[call]
        if not replies:
            return web.json_response({"message": "not in the script"}, status=404)
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if reply is None:
            request.transport.close()
            return web.Response()
        status, body = reply
        return web.json_response(body, status=status)


@pytest.fixture
async def start_server():
    """Return a function that starts a scripted server."""
    runners = []

    async def start():
        server = ScriptedServer()
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", server.serve)
        runner = web.AppRunner(application)
        runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        server.address = f"127.0.0.1:{runner.addresses[0][1]}"
        return server

    yield start
    for runner in runners:
        await runner.cleanup()


@pytest.fixture
async def server(start_server):
    return await start_server()


@pytest.fixture
def run_command(capsys, monkeypatch):
    """Return a function that runs the command with short intervals and time-outs."""
    monkeypatch.delenv("GREENGAGELATCH_SERVER", raising=False)
    monkeypatch.setattr(submission, "LOOKUP_TIMEOUT", 0.3)
    monkeypatch.setattr(submission, "LOOKUP_INTERVAL", 0.01)
    monkeypatch.setattr(waiting, "POLL_INTERVAL", 0.01)

    async def run_in_thread(*arguments, servers=()):
        command_line = list(arguments)
        if servers:
            command_line += ["--server", ",".join(servers)]
        code = await asyncio.to_thread(run, command_line)
        out, err = capsys.readouterr()
        return CommandResult(int(code), out, err)

    return run_in_thread

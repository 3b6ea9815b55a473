"""Callers that send requests, and take streams up that broke."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.relay.requests import OpaqueRequest, RefusedError
from greengagelatch_entry.relay.exchange import RelayExchange

from .instances import HOST, PLAIN_SERVICE, STREAM_SERVICE, TIMEOUT_SECONDS

if TYPE_CHECKING:
    from .instances import ModelInstance
    from .rules import Rulebook
    from .targets import ModelTarget
    from .world import World

__all__ = ("Callers",)

#: seconds between two probes of all instances
PROBE_SECONDS = 0.25
#: seconds between two streams
STREAM_SECONDS = 0.2
#: bounds in seconds: until the first event, until the stream breaks after it, and
#: until its caller is back
FIRST_SECONDS = (0.02, 0.3)
BREAK_SECONDS = (0.1, 3.0)
RETURN_SECONDS = (0.05, 1.0)


class Callers:
    """Sends requests through all instances, and checks what becomes of them."""

    def __init__(self, world: World, rules: Rulebook) -> None:
        self._world = world
        self._rules = rules
        self._random = world.random
        self._numbers = iter(range(1_000_000))
        #: streams that were taken up: those that went on, and those refused
        self.went_on = self.refused = 0

    async def probe_forever(self) -> None:
        """Look again and again at whom each instance would send requests to."""
        while True:
            for instance in tuple(self._world.instances):
                self._probe(instance)
            await asyncio.sleep(PROBE_SECONDS)

    async def stream_forever(self) -> None:
        """Begin streams, each of which breaks."""
        while True:
            self._world.run_task(self._stream())
            await asyncio.sleep(STREAM_SECONDS)

    def _probe(self, instance: ModelInstance) -> None:
        now = asyncio.get_running_loop().time()
        self._rules.check_version(instance, now)
        if not self._world.is_undisturbed(instance):
            return
        self._rules.check_targets(instance, self._world.targets, now)
        for key, removed_at in self._world.removed_keys.items():
            if self._is_accepted(instance, key):
                self._rules.check_key(instance, key, removed_at, now)

    def _is_accepted(self, instance: ModelInstance, key: str) -> bool:
        exchange = self._create_exchange(PLAIN_SERVICE, key)
        try:
            instance.route_filter.resolve(exchange)
        except RefusedError:
            return False
        return True

    async def _stream(self) -> None:
        instance = self._choose_instance()
        if instance is None:
            return
        exchange = self._create_exchange(STREAM_SERVICE, self._world.keys[0])
        target = self._choose_target(instance)
        if target is None:
            return
        request_id = exchange.request.request_id
        listed = instance.table.find_listed(target.incarnation.target_id)
        await instance.versions.record_send(request_id, listed)
        await asyncio.sleep(self._random.uniform(*FIRST_SECONDS))
        if not self._world.is_alive(instance) or not target.is_alive:
            # no event has reached the caller
            return
        await asyncio.sleep(self._random.uniform(*BREAK_SECONDS))
        await asyncio.sleep(self._random.uniform(*RETURN_SECONDS))
        other = self._choose_instance()
        if other is not None:
            await self._take_up(other, target, request_id)

    async def _take_up(
        self, instance: ModelInstance, target: ModelTarget, request_id: str
    ) -> None:
        exchange = self._create_exchange(
            STREAM_SERVICE, self._world.keys[0], request_id
        )
        try:
            instance.route_filter.resolve(exchange)
            exchange.service = STREAM_SERVICE
            version = await instance.versions.find_version(exchange)
        except RefusedError:
            self.refused += 1
            return
        if version is None:
            return
        self.went_on += 1
        now = asyncio.get_running_loop().time()
        self._rules.check_stream(
            request_id, target.version, version, instance.name, now
        )

    def _create_exchange(
        self, service: str, key: str, resumes: str = ""
    ) -> RelayExchange:
        number = next(self._numbers)
        request = OpaqueRequest(
            request_id=f"r-{number}",
            method="GET",
            host=HOST,
            target=f"/{service}/{number}",
            headers=(),
            body=b"",
            received=asyncio.get_running_loop().time(),
            timeout=TIMEOUT_SECONDS,
            key=key,
            resume_after=3 if resumes else None,
            resumes=resumes,
        )
        return RelayExchange(request=request, writer=None)

    def _choose_instance(self) -> ModelInstance | None:
        ready = [one for one in self._world.instances if one.is_ready]
        return self._random.choice(ready) if ready else None

    def _choose_target(self, instance: ModelInstance) -> ModelTarget | None:
        """Return a target at which a stream may begin and that can be reached."""
        unrecorded = instance.history.list_unrecorded(STREAM_SERVICE)
        listed = {
            one.incarnation
            for one in instance.table.list_service(STREAM_SERVICE)
            if one.incarnation not in unrecorded
        }
        targets = [
            one
            for one in self._world.targets
            if one.incarnation in listed and self._world.can_reach(instance, one)
        ]
        return self._random.choice(targets) if targets else None

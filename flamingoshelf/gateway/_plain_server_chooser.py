"""Choice of the server of a plain call, with a permit if the server states a limit."""

import asyncio
from collections.abc import Sequence

from loguru import logger

from flamingoshelf.gateway._plain_call_placer import PlainCallPlacer, PlainChoice
from flamingoshelf.gateway._plain_state import PlainState
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.routing import BackendInstance, ServerSelector
from flamingoshelf.server_limits import LimitService, Permit
from flamingoshelf.utils import now_s

__all__ = ["PlainServerChooser"]

# Part of the time left until the latency goal for which a call waits for a permit; the rest is left
# for the server.
_PERMIT_WAIT_GOAL_SHARE = 0.5
# Part of the time left until the deadline for which a call waits for a keeper of the permits, while
# no server can be used without one.
_KEEPER_WAIT_SHARE = 0.5
_DECISION_TIMEOUT_S = 0.1  # of the keeper, while there is another way to serve the call
_ASK_AGAIN_DELAY_S = 0.01  # after a lost reply
_KEEPER_RETRY_AFTER_S = 0.5  # another node takes over from a lost keeper within about this time


class PlainServerChooser:
    """Chooses the server of a plain call.

    Servers with and without limits are chosen alike, by running calls. If the chosen one states
    a limit, a permit is asked for, which may be for another limited server. Without a permit the
    call goes to a server without a limit, or waits for one if there is none.

    Parameters
    ----------
    targets : TargetSelector
        Lists the servers of a service.
    selector : ServerSelector
        Chooses a server by load and failures.
    limits : LimitService
        Gives permits.
    placer : PlainCallPlacer or None
        Has calls placed by the coordinator, unless a server states a limit; None if each node
        chooses by itself.
    """

    def __init__(
        self,
        *,
        targets: TargetSelector,
        selector: ServerSelector,
        limits: LimitService,
        placer: PlainCallPlacer | None = None,
    ) -> None:
        self._placer = placer
        self._targets = targets
        self._selector = selector
        self._limits = limits

    async def choose(self, state: PlainState) -> BackendInstance | None:
        """Return a server that was not tried, or None if none can be used or a call has ended."""
        if self._placer is not None:
            choice = await self._place(self._placer, state)
            if choice is not None:
                return choice.server
        servers = self._targets.instances(state.service)
        state.is_evacuated = not servers and self._targets.are_all_evacuated(state.service)
        pauses = self._targets.pauses(state.service)
        if servers and len(pauses) == len(servers):
            state.pause_s = min(pauses.values())
        servers = [server for server in servers if server.key not in pauses]
        chosen = self._select(state, servers)
        if chosen is None or not self._is_limited(chosen):
            return chosen
        others = [server for server in servers if not self._is_limited(server)]
        limited = [
            server
            for server in self._selector.usable(servers, tried=state.tried)
            if self._is_limited(server)
        ]
        alternative = self._select(state, others)
        permit = await self._acquire(state, limited, may_wait=alternative is None)
        if permit is not None and permit.run is not None:
            return next((server for server in limited if server.run == permit.run), None)
        if alternative is not None:
            return self._select(state, others)
        state.limit_wait_s = _KEEPER_RETRY_AFTER_S if permit is None else permit.retry_after_s
        return None

    async def _place(self, placer: PlainCallPlacer, state: PlainState) -> PlainChoice | None:
        """Return the coordinator's decision, None if there is none or a server needs a permit."""
        listed = self._targets.instances(state.service)
        usable = self._selector.usable(self._available(state), tried=state.tried)
        if not usable or any(map(self._is_limited, listed)):
            return None
        choice = await placer.choose(state, usable, listed)
        if choice is None or choice.server is None:
            return choice
        available = {server.key: server for server in self._available(state)}
        server = available.get(choice.server.key)
        if server is None:  # it began to drain, or to limit its requests, while the call waited
            placer.release(state)
            return None
        return PlainChoice(server=server)

    def _available(self, state: PlainState) -> list[BackendInstance]:
        """Return the servers that may get a call without a permit now."""
        pauses = self._targets.pauses(state.service)
        return [
            server
            for server in self._targets.instances(state.service)
            if server.key not in pauses and not self._is_limited(server)
        ]

    def _select(
        self, state: PlainState, servers: Sequence[BackendInstance]
    ) -> BackendInstance | None:
        key = self._selector.choose(servers, tried=state.tried)
        return next((server for server in servers if server.key == key), None)

    def _is_limited(self, server: BackendInstance) -> bool:
        return self._limits.stated.limit(server.run) is not None

    async def _acquire(
        self, state: PlainState, servers: Sequence[BackendInstance], *, may_wait: bool
    ) -> Permit | None:
        """Return a permit or its refusal; None if the keeper is lost or a running call has ended.

        Unless `may_wait`, the keeper has to decide at once, and isn't asked again.
        """
        began_s = now_s()
        may_wait = may_wait and not state.running
        timeout_s = _KEEPER_WAIT_SHARE * state.remaining_s if may_wait else _DECISION_TIMEOUT_S
        until_s = began_s + timeout_s
        while True:
            goal_left_s = max(0.0, state.request.goal_s - now_s())
            asking = asyncio.ensure_future(
                self._limits.acquire(
                    [server.run for server in servers],
                    priority=state.request.priority,
                    wait_s=_PERMIT_WAIT_GOAL_SHARE * goal_left_s if may_wait else 0.0,
                )
            )
            try:
                await asyncio.wait(
                    {asking, *(attempt.task for attempt in state.running)},
                    timeout=max(0.0, until_s - now_s()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                permit = asking.result() if asking.done() else None
            finally:
                asking.cancel()
            if permit is not None or not may_wait or now_s() >= until_s:
                break
            await asyncio.sleep(_ASK_AGAIN_DELAY_S)
        logger.bind(
            request_id=state.request.request_id,
            step="limit",
            peer=None if permit is None or permit.run is None else permit.run.instance_id,
            servers=len(servers),
            waited_s=round(now_s() - began_s, 4),
            retry_after_s=None if permit is None else round(permit.retry_after_s, 3),
        ).info(
            "no word of a permit"
            if permit is None
            else "permit refused" if permit.run is None else "permit granted"
        )
        return permit

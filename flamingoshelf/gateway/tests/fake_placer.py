"""Placer that needs no dispatcher."""

import asyncio

from flamingoshelf.placement import RunOutcome, Turn
from flamingoshelf.refusals import Refusal, RefusalReason

NO_ENGINE = Refusal(
    reason=RefusalReason.NO_BACKEND, status=503, detail="none", not_run=True, retry_after_s=1.0
)


class FakePlacer:
    """Grants the first engines in order that are not to be avoided, where possible."""

    def __init__(self):
        self.requests = []
        self.granted = 0
        self.released = []
        self.slow_prefills = []
        self.completed = []
        self.outcomes = []
        self.failed = []
        self.rejected = []
        self.started = []
        self.refusals = []
        self.later_refusals = []  # used from the second request on
        self.later_wait_s = 0.0  # time that a turn takes from the second request on
        self.has_room = True
        self.has_prefill = True
        self.ignores_exclude = False  # of the first request, as a coordinator may
        self.confirmed = []  # decode engines in place of the granted ones

    async def acquire(self, request):
        self.requests.append(request)
        if self.refusals:
            return self.refusals.pop(0)
        if len(self.requests) > 1 and self.later_refusals:
            return self.later_refusals.pop(0)
        if len(self.requests) > 1:
            await asyncio.sleep(self.later_wait_s)
        avoid = () if self.ignores_exclude and len(self.requests) == 1 else request.avoid
        free = [name for name in ("d1", "d2", "d3") if name not in avoid]
        if not free:
            return NO_ENGINE
        self.granted += 1
        prefills = [name for name in ("p1", "p2") if name not in request.avoid] or ["p1"]
        return Turn(
            turn_id=request.turn_id,
            service=request.service,
            prefill_id=prefills[0] if self.has_prefill else None,
            decode_id=free[0],
            prefill_s=0.1,
        )

    async def confirm(self, turn):
        if self.confirmed:
            return self.confirmed.pop(0)
        return turn.decode_id if self.has_room else None

    def record_prefill(self, turn, *, seconds):
        pass

    def record_start(self, turn):
        self.started.append(turn.decode_id)

    def record_slow_prefill(self, turn, *, seconds):
        self.slow_prefills.append((turn.prefill_id, seconds))

    def release(self, turn, *, events, seconds, outcome):
        self.released.append((turn.decode_id, events))
        self.completed.append(outcome is RunOutcome.COMPLETE)
        self.outcomes.append(outcome)

    def record_failure(self, service, engine_id, kind, *, detail):
        self.failed.append((engine_id, kind))

    def record_rejection(self, service, engine_id):
        self.rejected.append(engine_id)

"""Simulation of engines that fall silent for a time, with their connections open, and go on.

The callers' side follows the forwarder: it reports pauses, repeats unanswered prefills and resumes
stalled streams at other engines. Silent engines are probed as by the prober.
"""

import attrs

from flamingoshelf.gateway._prefill_timeout import prefill_timeout_s
from flamingoshelf.placement import FailureKind, PlacementRequest, RunOutcome
from flamingoshelf.placement.tests.simulation import (
    CALLER_TIMEOUT_S,
    FIRST_EVENT_DELAY_S,
    FIRST_EVENT_GOAL_S,
    MESSAGE_DELAY_S,
    REFERENCE,
    STEP_S,
    Call,
    Simulation,
)

SILENCE_NOTICE_S = 0.4  # pause after which an engine is reported as suspect
STALL_S = 1.2  # pause after which a run is resumed elsewhere
PROBE_CHECK_S = 0.05
PROBE_TIMEOUT_S = 0.4
DEADLINE_S = 14.0


@attrs.define(kw_only=True)
class Progress:
    """Progress of one call over all its turns; `serial` counts its engine calls."""

    serial: int = 0
    generated: float = 0.0  # tokens that the caller has received
    avoid: set = attrs.field(factory=set)
    decode_id: str | None = None  # engine of the current run, from the call on
    progress_s: float = 0.0  # time of the last event, or of the start of the call
    run_started_s: float | None = None  # time of the first event of the current run
    run_began_at: float = 0.0  # tokens received before the current run
    is_noticed: bool = False
    stalls: int = 0


class SilentEnginesSimulation(Simulation):
    """A simulation whose engines can be silent or dead.

    Parameters
    ----------
    calls, prefills, decodes, seed
        As in `Simulation`.
    silences : dict
        For each engine, the time at which it falls silent and for how long.
    """

    def __init__(self, calls, *, prefills, decodes, silences, seed=1, kind=REFERENCE):
        super().__init__(calls, prefills=prefills, decodes=decodes, seed=seed, kind=kind)
        self.silences = silences
        self.progress = {call.name: Progress() for call in calls}
        self.grants = []  # time and engine of each grant

    def wakes_s(self, name):
        """Return the time at which a silent engine goes on; the present if it isn't silent."""
        at_s, length_s = self.silences.get(name, (float("inf"), 0.0))
        return at_s + length_s if at_s <= self.now < at_s + length_s else self.now

    def is_silent(self, name):
        return self.wakes_s(name) > self.now

    def idle_after_s(self, name):
        """Return the seconds from the end of an engine's silence to its next grant."""
        at_s, length_s = self.silences[name]
        end_s = at_s + length_s
        return min((s for s, key in self.grants if key == name and s >= end_s), default=99) - end_s

    def _step_engines(self):
        self._probe_engines()
        for name in self.silences:
            if self.silences[name][0] <= self.now < self.silences[name][0] + STEP_S:
                self._begin_silence(name)
        held = {name: engine.runs for name, engine in self.decodes.items() if self.is_silent(name)}
        for name in held:
            self.decodes[name].runs = {}
        super()._step_engines()
        for name, runs in held.items():
            self.decodes[name].runs = runs
        self._watch_runs()

    def _begin_silence(self, name):
        if name not in self.prefills:
            return
        engine, length_s = self.prefills[name], self.silences[name][1]
        engine.queue = [(done_s + length_s, call) for done_s, call in engine.queue]
        engine.done_s = max(engine.done_s, self.now) + length_s

    def _watch_runs(self):
        """Let the caller's side see events, pauses and stalls."""
        for name, state in self.progress.items():
            key, call = state.decode_id, self.by_name[name]
            if key is None:
                continue
            if call.ended_s is not None:
                state.decode_id = None
                continue
            run = self.decodes[key].runs.get(name) if key in self.decodes else None
            if run is not None and state.run_started_s is not None and not self.is_silent(key):
                state.generated, state.progress_s = run[1], self.now
            pause_s = self.now - state.progress_s
            if pause_s >= SILENCE_NOTICE_S and not state.is_noticed:
                state.is_noticed = True
                self._fail(key, FailureKind.SILENT, "no event for a time")
            if pause_s >= STALL_S:
                self._end_stalled_run(call, state, key)

    def _end_stalled_run(self, call, state, key):
        self._fail(key, FailureKind.BROKE_OFF, "stalled")
        state.serial += 1
        state.stalls += 1
        state.avoid.add(key)
        state.decode_id = None
        runs = self.decodes[key].runs if key in self.decodes else {}
        self.schedule(self.wakes_s(key) - self.now, lambda: runs.pop(call.name, None))
        events, seconds = 0, 0.0
        if state.run_started_s is not None:  # the first event comes at the start of the run
            sent = (state.generated - state.run_began_at) / self.kind.tokens_per_event
            events = 1 + int(sent)
            seconds = (state.progress_s - state.run_started_s) * int(sent) / max(sent, 1.0)
        outcome = RunOutcome.ENDED if events else RunOutcome.LOST
        self.release(call.name, events=events, seconds=seconds, outcome=outcome)
        self._enqueue(call)

    def release(self, name, **fields):
        """Release a turn; the events and seconds of a complete answer are those of its last run."""
        state = self.progress[name]
        if fields.get("outcome") is RunOutcome.COMPLETE and state.run_started_s is not None:
            call = self.by_name[name]
            began_events = int(state.run_began_at / self.kind.tokens_per_event)
            fields["events"] = -(-call.actual // self.kind.tokens_per_event) - began_events
            fields["seconds"] = call.ended_s - state.run_started_s
        super().release(name, **fields)

    def _fail(self, key, kind, detail):
        self.schedule(
            MESSAGE_DELAY_S,
            lambda: self.dispatcher.engines.record_failure(key, kind, detail=detail),
        )

    def _probe_engines(self):
        if round(self.now / STEP_S) % round(PROBE_CHECK_S / STEP_S):
            return
        health = self.dispatcher.engines.health
        for key in health.due_probes(self.now):
            answer_s = self.wakes_s(key) - self.now + MESSAGE_DELAY_S
            is_answered, seconds = answer_s <= PROBE_TIMEOUT_S, min(answer_s, PROBE_TIMEOUT_S)
            self.schedule(
                seconds,
                lambda key=key, is_answered=is_answered, seconds=seconds: health.record_probe(
                    key, is_answered=is_answered, now_s=self.now, seconds=seconds
                ),
            )

    def _enqueue(self, call):
        state = self.progress[call.name]
        waited = self.now - call.at_s
        is_started = call.first_event_s is not None
        self.dispatcher.enqueue(
            PlacementRequest(
                turn_id=call.name,
                service="s",
                workspace=call.workspace,
                prompt_tokens=call.prompt,
                expected_tokens=call.expected,
                resumed_events=int(state.generated / self.kind.tokens_per_event),
                goal_left_s=FIRST_EVENT_GOAL_S - waited,
                wait_left_s=(DEADLINE_S if is_started else CALLER_TIMEOUT_S) - waited,
                deadline_left_s=DEADLINE_S - waited,
                avoid=tuple(state.avoid),
                repeat_cost=state.serial,
                is_resumed=is_started,
                content=call.name,
            ),
            "n",
        )

    def _apply(self, decision):
        super()._apply(decision)
        if decision.turn_id in self.held and self.granted_s[decision.turn_id] == self.now:
            turn = self.turns[decision.turn_id]
            self.grants += [(self.now, turn.prefill_id), (self.now, turn.decode_id)]
            self._watch_prefill(self.by_name[decision.turn_id], turn)

    def _watch_prefill(self, call, turn):
        state = self.progress[call.name]
        state.serial += 1
        serial = state.serial
        timeout_s = prefill_timeout_s(turn.prefill_s, call.at_s + FIRST_EVENT_GOAL_S - self.now)

        def give_up():
            if state.serial != serial or call.name not in self.held:
                return
            self._drop_prompt(self.prefills[turn.prefill_id], call)
            self.dispatcher.record_slow_prefill(call.name, seconds=timeout_s)
            self._fail(turn.prefill_id, FailureKind.BROKE_OFF, "no answer to a prefill")
            state.serial += 1
            state.avoid.add(turn.prefill_id)
            self.release(call.name)
            self._enqueue(call)

        self.schedule(timeout_s, give_up)

    def _drop_prompt(self, engine, call):
        """Remove a prompt that its caller gave up; the next ones move up."""
        index = next((n for n, entry in enumerate(engine.queue) if entry[1] is call), None)
        if index is None:
            return
        work_s = engine.speed * self.kind.prefill_s(call.prompt)
        later = [(done_s - work_s, other) for done_s, other in engine.queue[index + 1 :]]
        engine.queue[index:] = later
        engine.done_s -= work_s

    def _on_prefilled(self, call, seconds):
        state = self.progress[call.name]
        state.serial += 1
        seconds = max(seconds, self.now - self.granted_s[call.name])  # the silence included
        super()._on_prefilled(call, seconds)

    def _start_run(self, call, decode_id):
        state = self.progress[call.name]
        state.serial += 1
        state.decode_id = decode_id
        state.progress_s = self.now
        state.run_started_s = None
        state.run_began_at = state.generated
        state.is_noticed = False
        self._answer_call(call, decode_id, state.serial)

    def _answer_call(self, call, decode_id, serial):
        """Begin a run once the engine isn't silent, unless it was given up meanwhile."""
        state = self.progress[call.name]
        if self.is_silent(decode_id):
            delay_s = self.wakes_s(decode_id) - self.now
            self.schedule(delay_s, lambda: self._answer_call(call, decode_id, serial))
            return
        if state.serial != serial:
            return
        engine = self.decodes.get(decode_id)
        if engine is None or not engine.has_room(call):
            state.decode_id = None
            super()._start_run(call, decode_id)
            return
        engine.runs[call.name] = (call, state.generated)
        self.schedule(FIRST_EVENT_DELAY_S, lambda: self._send_first_event(call, decode_id, serial))

    def _send_first_event(self, call, decode_id, serial):
        state = self.progress[call.name]
        if self.is_silent(decode_id):
            delay_s = self.wakes_s(decode_id) - self.now
            self.schedule(delay_s, lambda: self._send_first_event(call, decode_id, serial))
            return
        if state.serial != serial:
            return
        state.run_started_s = state.progress_s = self.now
        if call.first_event_s is None:
            call.first_event_s = self.now
        self.dispatcher.record_start(call.name)


def outcomes(calls: list[Call]):
    """Return the numbers of calls that were refused, not served, and late."""
    return {
        "refused": sum(call.refused_s is not None for call in calls),
        "unserved": sum(not call.is_served for call in calls),
        "late": sum(call.is_served and not call.is_on_time for call in calls),
    }

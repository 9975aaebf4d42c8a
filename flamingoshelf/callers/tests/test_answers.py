"""Complete answers, streamed answers and callers that disconnect."""

import asyncio

import pytest

from flamingoshelf.callers.tests.conftest import KEY
from flamingoshelf.exceptions import EngineError

PROMPT = {"model": "writer", "prompt": "Value this van.", "max_tokens": 8}


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def test_whole_answer(caller_site):
    status, answer = await caller_site.post(PROMPT)
    assert status == 200
    assert answer["choices"][0] == {"index": 0, "finish_reason": "stop", "text": "t0 t1 t2 t3 t4 "}
    assert answer["usage"] == {"prompt_tokens": 7, "completion_tokens": 5, "total_tokens": 12}
    assert caller_site.limiter.used == [12]


async def test_whole_chat(caller_site):
    body = {"model": "writer", "messages": [{"role": "user", "content": "Value this van."}]}
    status, answer = await caller_site.post(body, path="/v1/chat/completions")
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == "t0 t1 t2 t3 t4 "
    assert caller_site.engines.prompts == ["user: Value this van."]


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("step", ["waiting", "decoding"])
async def test_caller_that_goes_away_leaves_nothing_held(caller_site, step, stream):
    caller_site.engines.gate_index = 2
    if step == "waiting":
        caller_site.placer.open.clear()
    _, writer = await caller_site.open_completion(PROMPT | {"stream": stream})
    if step == "waiting":
        await wait_until(lambda: caller_site.placer.waiting == 1)
    else:
        await wait_until(lambda: caller_site.engines.held)
    writer.close()
    await wait_until(lambda: caller_site.placer.waiting == 0)
    await wait_until(lambda: not caller_site.engines.held)
    await wait_until(lambda: caller_site.placer.granted == 0)


async def test_slow_reader_holds_no_place(caller_site):
    caller_site.engines.token_count = 200_000
    reader, writer = await caller_site.open_completion(PROMPT | {"stream": True})
    await reader.readline()
    await wait_until(lambda: caller_site.engines.prompts and not caller_site.engines.held)
    await wait_until(lambda: caller_site.placer.granted == 0)
    writer.close()


async def test_failed_stream_ends_with_an_error_and_without_done_event(caller_site):
    original = caller_site.engines.decode

    async def cut_after_two(address, *, request_id, **options):
        async for event in original(address, request_id=request_id):
            yield event
            if event.index == 1:
                break
        caller_site.engines.decode = refuse
        raise EngineError("gone", step="decode", peer="decode-0", crashed=True)

    async def refuse(address, *, request_id, **options):
        raise EngineError("gone", step="decode", peer="decode-0", crashed=True)
        yield

    caller_site.engines.decode = cut_after_two
    reader, writer = await caller_site.open_completion(PROMPT | {"stream": True})
    async with asyncio.timeout(10):
        body = await reader.read()
    writer.close()
    assert b"t1 " in body
    assert b'"reason":"retries_exhausted"' in body
    assert b"[DONE]" not in body
    assert not body.endswith(b"0\r\n\r\n")
    assert KEY.encode() not in body


@pytest.mark.parametrize("is_leaving", [False, True])
async def test_connection_is_closed_after_an_answer_only_while_leaving(caller_site, is_leaving):
    caller_site.is_leaving = is_leaving
    reader, writer = await caller_site.open_completion(PROMPT)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert (b"connection: close" in head.lower()) is is_leaving

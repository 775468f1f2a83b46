"""Tests of chat completions from the caller to the engine."""

import json

import openai

from .conftest import TOKEN, Cluster, chat


async def test_stream_is_complete_for_the_openai_client(cluster: Cluster) -> None:
    """Guards against a response format that the OpenAI client cannot parse."""
    client = openai.AsyncOpenAI(
        api_key=TOKEN, base_url=f"{cluster.url}/v1", max_retries=0
    )
    stream = await client.chat.completions.create(
        model="grain", messages=[{"role": "user", "content": "dry?"}], stream=True
    )
    text = ""
    async for chunk in stream:
        text += chunk.choices[0].delta.content or ""
    assert text == "Silo seven is dry."
    assert [model.id async for model in client.models.list()] == ["grain"]
    await client.close()


async def test_response_without_streaming_is_assembled(cluster: Cluster) -> None:
    """Guards against a partial text in a response without streaming.

    The engine always streams, so the chunks have to be assembled.
    """
    async with cluster.post(chat()) as response:
        body = await response.json()
    assert response.status == 200
    assert body["choices"][0]["message"]["content"] == "Silo seven is dry."
    assert body["choices"][0]["finish_reason"] == "stop"
    assert body["object"] == "chat.completion"
    assert cluster.engines[0].requests[0]["stream"] is True


async def test_stream_ends_with_done(cluster: Cluster) -> None:
    """Guards against a missing end marker, which proves a complete response."""
    async with cluster.post(chat(stream=True)) as response:
        events = (await response.text()).split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    ids = {json.loads(event[6:])["id"] for event in events[:-2]}
    assert ids == {response.headers["X-Request-Id"]}

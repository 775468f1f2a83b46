"""Callers that use the OpenAI client library."""

import asyncio

import openai
import pytest

from standins.answers import expected_answer
from standins.demo import MODEL, TEAM_TOKEN

from .common import RunningSystem

pytestmark = pytest.mark.asyncio(loop_scope="package")

TOKENS = 30


def _client(system: RunningSystem, token: str = TEAM_TOKEN) -> openai.AsyncOpenAI:
    address = system.nodes[0].address("entry")
    return openai.AsyncOpenAI(base_url=f"{address}/v1", api_key=token, max_retries=0)


async def test_the_openai_client_gets_complete_responses(system: RunningSystem) -> None:
    """Guards against responses that the OpenAI client cannot parse."""
    async with _client(system) as client:

        async def async_plain(number: int) -> None:
            prompt = f"plain {number}"
            response = await client.chat.completions.create(
                model=MODEL,
                messages=[{"role": "user", "content": prompt}],
                max_tokens=TOKENS,
            )
            expected = expected_answer([{"role": "user", "content": prompt}], TOKENS)
            choice = response.choices[0]
            assert choice.message.content == expected
            assert (choice.message.role, choice.finish_reason) == ("assistant", "stop")
            assert response.usage is not None
            assert response.usage.completion_tokens == TOKENS

        async def async_streamed(number: int) -> None:
            prompt = f"streamed {number}"
            chunks = await client.chat.completions.create(
                model=MODEL,
                messages=[{"role": "user", "content": prompt}],
                max_tokens=TOKENS,
                stream=True,
            )
            texts = [
                choice.delta.content or ""
                async for chunk in chunks
                for choice in chunk.choices
            ]
            expected = expected_answer([{"role": "user", "content": prompt}], TOKENS)
            assert "".join(texts) == expected

        numbers = range(4)
        await asyncio.gather(*map(async_plain, numbers), *map(async_streamed, numbers))
        assert [item.id async for item in client.models.list()] == [MODEL]


async def _async_refusal(client: openai.AsyncOpenAI, model: str) -> dict[str, object]:
    """Send a request that must be refused; return its exception class and error."""
    with pytest.raises(openai.APIStatusError) as refused:
        await client.chat.completions.create(
            model=model, messages=[{"role": "user", "content": "x"}]
        )
    body = refused.value.body
    assert isinstance(body, dict)
    return {"class": type(refused.value), **body}


async def test_the_openai_client_reads_errors(system: RunningSystem) -> None:
    """Guards against refusals that the OpenAI client reports as broken responses."""
    async with _client(system, "wrong-token") as client:
        refusal = await _async_refusal(client, MODEL)
    assert refusal["class"] is openai.AuthenticationError
    assert (refusal["code"], refusal["ran"]) == ("invalid_token", "no")
    async with _client(system) as client:
        refusal = await _async_refusal(client, "other")
    assert refusal["class"] is openai.NotFoundError
    assert (refusal["code"], refusal["ran"]) == ("model_not_found", "no")

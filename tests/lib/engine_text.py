"""Prompt and output token counts of the stand-in engine."""

import json
import re


def count_prompt(body: dict) -> int:
    texts = [str(part['content']) for part in body['messages']]
    return len(''.join(texts).encode()) // 4 + 8


def choose_length(body: dict) -> int:
    prompt = json.dumps(body['messages'])
    wish = re.search(r'stop=(\d+)', prompt)
    length = int(wish.group(1)) if wish else body['max_tokens']
    return min(length, body['max_tokens'])


def make_usage(count: dict) -> dict:
    return {
        'prompt_tokens': count['prompt'],
        'completion_tokens': count['output'],
        'total_tokens': count['prompt'] + count['output'],
    }

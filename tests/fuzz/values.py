"""Odd values, texts and messages, drawn from one seeded generator."""

import json
import random
from copy import deepcopy

HALF = "\ud83d"
"""Half of a surrogate pair, which JSON can name and UTF-8 cannot encode."""
_TEXTS = (
    "",
    " ",
    "x",
    HALF,
    f"cut {HALF}",
    "\x00",
    "a\r\nb: c",
    "\x7f\x80\xff",
    "\u00e9\u4e2d\U0001f600",
    "../../x?y#z",
    "//[",
    "x" * 5_000,
    "-1",
    "nan",
    "9" * 400,
    "127.0.0.1:99999",
    "[::1]:80",
)
_NUMBERS = (0, -1, 1, 2**31, 2**53 + 1, 2**63, 2**64, -(2**64), 10**300, 0.5, -0.0, 1e308)
_FLOATS = (float("nan"), float("inf"), float("-inf"))
MAX_DEPTH = 3


class OddValues:
    """Draws odd values."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def text(self) -> str:
        """Return a text."""
        return self.rng.choice(_TEXTS)

    def number(self) -> object:
        """Return a number."""
        return self.rng.choice((*_NUMBERS, *_FLOATS))

    def value(self, depth: int = 0) -> object:
        """Return any JSON value."""
        kind = self.rng.randrange(8 if depth < MAX_DEPTH else 5)
        if kind == 0:
            return self.rng.choice((None, True, False))
        if kind < 3:
            return self.number()
        if kind < 5:
            return self.text()
        if kind == 5:
            return self.rng.choice(([], {}, self._nested(400), self._nested(4)))
        size = self.rng.randrange(4)
        if kind == 6:
            return [self.value(depth + 1) for _ in range(size)]
        return {self.text(): self.value(depth + 1) for _ in range(size)}

    @staticmethod
    def _nested(levels: int) -> list:
        nested: list = []
        for _ in range(levels):
            nested = [nested]
        return nested

    def mutated(self, document: object, changes: int = 0) -> object:
        """Return a copy of a JSON document with some of its values changed or removed."""
        copy = deepcopy(document)
        for _ in range(changes or self.rng.randrange(1, 4)):
            copy = self._mutate(copy)
        return copy

    def _mutate(self, node: object) -> object:
        if not isinstance(node, dict | list) or not node or self.rng.random() < 0.05:
            return self.value()
        key = self.rng.choice(list(node) if isinstance(node, dict) else range(len(node)))
        action = self.rng.random()
        if action < 0.1:
            del node[key]
        elif action < 0.5 and isinstance(node[key], dict | list):
            node[key] = self._mutate(node[key])
        else:
            node[key] = self.value()
        return node

    def spoilt(self, data: bytes) -> bytes:
        """Return bytes with some of them changed, dropped, doubled or cut off."""
        spoilt = bytearray(data)
        for _ in range(self.rng.randrange(1, 4)):
            if not spoilt:
                break
            at = self.rng.randrange(len(spoilt))
            action = self.rng.randrange(4)
            if action == 0:
                spoilt[at] ^= 1 << self.rng.randrange(8)
            elif action == 1:
                del spoilt[at : at + self.rng.randrange(1, 9)]
            elif action == 2:
                spoilt[at:at] = spoilt[at : at + 9]
            else:
                del spoilt[at:]
        return bytes(spoilt)

    def json(self, document: object) -> bytes:
        """Return a document as JSON, now and then with spoilt bytes."""
        data = json.dumps(document).encode()
        return self.spoilt(data) if self.rng.random() < 0.2 else data

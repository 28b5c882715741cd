"""Cuts deeply nested values out of JSON text, for which a parser would need as deep a stack."""

import re

_TOKEN = re.compile(r'"|[\[{]+|[\]}]+')
_STRING = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)


def without_deep_values(text: str, max_levels: int) -> str:
    """Return a text with null in place of lists and objects below so many levels.

    Takes time in proportion to the length of the text. Raises ValueError if a string or a value
    does not end; other text that is not JSON stays so.
    """
    kept: list[str] = []
    at = kept_until = level = 0
    cut_from: int | None = None
    while (token := _TOKEN.search(text, at)) is not None:
        at = token.end()
        if token[0] == '"':
            string = _STRING.match(text, token.start())
            if string is None:
                raise ValueError("a string does not end")
            at = string.end()
        elif token[0][0] in "[{":
            level += len(token[0])
            if cut_from is None and level > max_levels:
                cut_from = token.end() - (level - max_levels)
                kept.append(text[kept_until:cut_from])
        else:
            level -= len(token[0])
            if cut_from is not None and level <= max_levels:
                kept_until = token.end() - (max_levels - level)
                kept.append("null")
                cut_from = None
    if cut_from is not None:
        raise ValueError("a value does not end")
    return "".join((*kept, text[kept_until:]))

"""Trials of guilty parts: the home lets one instance send one request, to make sure.

Its answer shows that the part is sound after all; the end of its runner, that it is not.
"""

import random
from collections.abc import Container, Sequence
from itertools import count
from typing import NamedTuple

from egretstack.events import Event, log
from egretstack.ids import ContentId, InstanceId, PartId

MAX_FIRST_NUMBER = 2**31
GRANT_S = 5.0
"""Time after which a part may be tried again: the instance had no such request, or is gone."""


class TrialGrant(NamedTuple):
    """The permission to let one request with a part through."""

    instance: InstanceId
    number: int
    """Differs from that of every other grant, of an earlier home too in all likelihood."""


class TrialGrants:
    """Which instance may try which part, as the home decides."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._numbers = count(rng.randrange(1, MAX_FIRST_NUMBER))
        self._grant_by_part: dict[PartId, tuple[TrialGrant, float]] = {}
        """The grant, and until when it holds."""

    def grant(self, part: PartId) -> TrialGrant | None:
        """Return the grant of a part; None if it may not be tried now."""
        granted = self._grant_by_part.get(part)
        return None if granted is None else granted[0]

    def update(self, now_s: float, due: Sequence[PartId], live: Sequence[InstanceId]) -> None:
        """Grant trials of the parts that are due, and grant each anew after some time."""
        granted = {part: one for part, one in self._grant_by_part.items() if part in due}
        for part in due:
            if part not in granted or now_s >= granted[part][1]:
                grant = TrialGrant(self._rng.choice(live), next(self._numbers))
                granted[part] = grant, now_s + GRANT_S
        self._grant_by_part = granted


class TrialUse:
    """The requests that this instance lets through."""

    def __init__(self) -> None:
        self._use_by_part: dict[PartId, tuple[int, ContentId]] = {}
        """The number of the grant that was used last, and the request."""

    def allows(self, part: PartId, content: ContentId, grant: TrialGrant | None) -> bool:
        """Return whether a request may pass with a part; `grant` is this instance's, if any."""
        number, used = self._use_by_part.get(part, (0, None))
        if grant is not None and grant.number != number:
            log(Event.PART_TRIED, part=part, content=content)
            used = content
            self._use_by_part[part] = grant.number, content
        return used == content

    def retain(self, parts: Container[PartId]) -> None:
        """Forget the requests of other parts."""
        self._use_by_part = {part: use for part, use in self._use_by_part.items() if part in parts}

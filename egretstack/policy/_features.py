"""Features of the default policy that can be disabled for measurements."""

from enum import Enum


class Feature(Enum):
    """A feature of the default policy; the value is its name in measurements."""

    LEARNED_LENGTHS = "lengths"
    """Output lengths are learned from sessions; without this, only the prior is used."""
    PREFIX_LENGTHS = "prefix-lengths"
    """Output lengths are learned by prompt prefix too, below the level of the account."""
    PEAK_QUANTILE = "spread"
    """The forecast peak is a quantile instead of the mean."""
    UNREPORTED_SENDS = "unseen"
    """The forecast includes what other instances probably sent since a report."""
    FREE_MEMORY_SHARE = "share-of-room"
    """Each instance uses only its share of the free memory that a report shows to all of them."""
    ENGINE_QUEUE = "engine-queue"
    """An engine that reports waiting requests gets no more."""
    RANDOM_NEAR_TIES = "near-equals"
    """One of the engines with nearly equal scores is chosen at random."""
    AFFINITY = "affinity"
    """Engines that have the prompt's prefix in their cache are preferred."""
    AGEING = "ageing"
    """The value of a waiting request increases with time."""
    ACCOUNT_FLOOR = "account-floor"
    """An account that got less than its minimum share goes before the others."""
    DEADLINE_FORECAST = "deadline-forecast"
    """Requests that are forecast to miss their deadline are refused immediately."""
    STREAM_PRIORITY = "reader-priority"
    """Streams get a higher engine priority than requests without a reader, so they are kept."""
    EVICTION = "relief"
    """Undelivered requests are evicted from an engine whose memory is about to overflow."""

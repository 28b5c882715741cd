"""The parts of the default policy that a measurement can take out, one at a time."""

from enum import Enum


class Feature(Enum):
    """One part of the default policy."""

    LEARNED_LENGTHS = "lengths"
    """Lengths learned from sessions; without it the prior alone."""
    PREFIX_LENGTHS = "prefix-lengths"
    """Lengths learned by prompt prefix, below those by account."""
    PEAK_QUANTILE = "spread"
    """A quantile of the peak rather than its mean."""
    UNREPORTED_SENDS = "unseen"
    """What other instances sent since a report, as far as it can be forecast."""
    FREE_MEMORY_SHARE = "share-of-room"
    """Each instance takes only its share of the room that a late report shows to all."""
    ENGINE_QUEUE = "engine-queue"
    """An engine that reports waiting work gets no more."""
    RANDOM_NEAR_TIES = "near-equals"
    """A random choice among runners that are nearly equal."""
    AFFINITY = "affinity"
    """Runners that hold the prompt's prefix come first."""
    AGEING = "ageing"
    """Waiting work grows in value."""
    ACCOUNT_FLOOR = "account-floor"
    """An account with little of the engines comes before the others."""
    DEADLINE_FORECAST = "deadline-forecast"
    """Work that is forecast to miss its deadline is refused at once."""
    STREAM_PRIORITY = "reader-priority"
    """Engines are asked to keep streams that are read before what nobody reads yet."""
    EVICTION = "relief"
    """Undelivered work leaves a runner whose memory is about to fill."""

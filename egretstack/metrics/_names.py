"""Names of the metrics that the service-level report reads; they must not change."""

EVENTS = "egret_level_events"
GOOD = "egret_level_good"
TARGET_SHARE = "egret_level_target_share"
TARGET_SECONDS = "egret_level_target_seconds"
SNAPSHOT = "egret_snapshot_seconds"
STARTED = "egret_start_seconds"
INSTANCE_LABEL = "instance_id"

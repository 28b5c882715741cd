"""The services of an instance on the users' platform, and the settings that they start with."""

import os
import sys
from dataclasses import replace
from pathlib import Path

import trio

from egretstack.errors import UserError
from egretstack.events import Event, Level, LineWriter, log, set_up_line_logs
from egretstack.platform import SETTINGS_VARIABLE, NodeSettings, read_node_settings
from egretstack.programs._running import run_services
from egretstack.settings import OPERATOR_FILE_VARIABLE, OperatorSettings, read_operator_settings

SERVICES = (
    "relay_metrics",
    "fleet_port",
    "fleet_news",
    "part_records",
    "runner_links",
    "store_reading",
    "runner_list",
    "evacuation_list",
    "instance_listing",
    "configuration_relay",
    "engine_reports",
    "placing_home",
    "runner_returns",
    "engine_placing",
    "engine_speeds",
    "placing_status",
    "crash_guard",
    "crash_list",
    "part_list",
    "brittle_runners",
    "runner_words",
    "relaying",
    "runner_strikes",
    "settings_file",
    "front_port",
    "directory_port",
    "detour_port",
)


def serve() -> None:
    """Serve until SIGTERM, with the settings file that the platform specifies."""
    run_services(_load_settings, SERVICES)


def _load_settings() -> NodeSettings:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise UserError(f"{SETTINGS_VARIABLE} does not name a settings file")
    settings = _apply_operator_settings(read_node_settings(Path(path)))
    lines = LineWriter(sys.stdout.fileno(), trio.current_time)
    set_up_line_logs(Level.INFO, lines, instance=settings.instance)
    log(Event.RELAY_STARTED, zone=settings.zone, shares_capacity=settings.shares_capacity)
    return settings


def _apply_operator_settings(node: NodeSettings) -> NodeSettings:
    """Return the platform's settings with what the operator's file overrides, if there is one."""
    path = os.environ.get(OPERATOR_FILE_VARIABLE, "")
    operator = read_operator_settings(Path(path)) if path else OperatorSettings()
    shares = operator.shares_capacity(platform_says=node.shares_capacity)
    return replace(node, shares_capacity=shares)

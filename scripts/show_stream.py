"""Prints the text of a streamed response from standard input."""

import json
import sys

DATA = "data: "


def main() -> None:
    """Print deltas as they arrive, then the final status of the response."""
    for line in sys.stdin:
        if not line.startswith(DATA):
            continue
        event = json.loads(line.removeprefix(DATA))
        if "delta" in event:
            print(event["delta"], end="", flush=True)
        elif "response" in event and event["response"]["status"] != "in_progress":
            response = event["response"]
            print(f"\n[{response['status']} {response.get('usage') or response.get('error')}]")


main()

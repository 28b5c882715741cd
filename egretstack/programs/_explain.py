"""`egretctl explain`: explains the outcome of one request from saved logs."""

import json
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from egretstack.errors import UserError
from egretstack.programs._running import run_or_exit
from egretstack.reports import Explanation, explain, read_log


def add_explain_command(app: App) -> None:
    """Add the command to `egretctl`."""

    @app.command(name="explain")
    def explain_request(
        request: str,
        files: list[Path],
        /,
        *,
        json_output: Annotated[bool, Parameter(name="--json")] = False,
    ) -> None:
        """Tell what became of a request, and why, from the saved logs of its instances.

        Example: `egretctl explain 9c41d07be2a35f68 edge-1.log edge-2.log`

        Parameters
        ----------
        request
            The id that the client gave this attempt.
        files
            Saved standard output of the instances, in any order.
        """
        run_or_exit(
            lambda: _print_explanation(_explain_files(request, files), json_output=json_output)
        )


def _explain_files(request: str, files: list[Path]) -> Explanation:
    lines = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as text:
                lines.extend(read_log(text))
        except OSError as error:
            raise UserError(f"{file}: cannot be read: {error.strerror}") from error
    return explain(request, lines)


def _print_explanation(explanation: Explanation, *, json_output: bool) -> None:
    if json_output:
        rows = [
            {"time": line.time, "instance": line.instance, "name": line.name} | line.fields
            for line in explanation.lines
        ]
        print(
            json.dumps({"request": explanation.request, "cause": explanation.cause, "lines": rows})
        )
        return
    for line in explanation.lines:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        print(f"{line.time}  {line.instance:18} {line.name:20} {fields}")
    print(f"cause: {explanation.cause}")

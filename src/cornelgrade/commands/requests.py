"""``request get KEY``: the stored answer to a keyed request."""

import sys
from typing import Any

from cornelgrade import errors
from cornelgrade.commands import _client, _output


def get(args: dict[str, Any]) -> errors.ExitCode:
    """Write the stored answer's body as it is."""
    path = f"/v1/requests/{_client.segment(args['KEY'])}"
    with _client.Client(args) as client:
        answer = client.call("GET", path)
    if args["--json"]:
        _output.write_json({"status": answer.status_code, "body": answer.text})
        return errors.ExitCode.OK
    sys.stdout.write(answer.text if answer.text.endswith("\n") else answer.text + "\n")
    return errors.ExitCode.OK

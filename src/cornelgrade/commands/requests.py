"""``request get KEY``: the stored response to a keyed request."""

import sys
from typing import Any

from cornelgrade import errors
from cornelgrade.commands import _client, _output


def get(args: dict[str, Any]) -> errors.ExitCode:
    """Write the body of the stored response unchanged; ``--json`` adds its status."""
    path = f"/v1/requests/{_client.quote_identifier(args['KEY'])}"
    with _client.Client(args) as client:
        response = client.call("GET", path)
    if args["--json"]:
        _output.write_json({"status": response.status_code, "body": response.text})
        return errors.ExitCode.OK
    sys.stdout.write(response.text if response.text.endswith("\n") else response.text + "\n")
    return errors.ExitCode.OK

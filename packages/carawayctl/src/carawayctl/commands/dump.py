"""Subcommand ``dump``: the whole state of one entry host."""

from __future__ import annotations

import json

from carawayctl.errors import ExitStatus, Refused
from carawayctl.registry import Context, option, subcommand


@subcommand(
    "dump",
    "print the state of the entry host as JSON",
    option("--section", help="print one member of the dump only, for example peers"),
)
async def _dump(context: Context) -> int:
    dump = await context.client.get("/v1/operator/dump")
    section = context.arguments.section
    if section is not None:
        if section not in dump:
            raise Refused(
                f"section {section!r} does not exist",
                given=section,
                accepted=sorted(dump),
                next_step="name one of the accepted sections, or leave out --section",
            )
        dump = {section: dump[section]}
    context.output.show(dump, json.dumps(dump, indent=2))
    return ExitStatus.DONE

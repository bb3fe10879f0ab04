"""`cherrydoor release`: commands to a running gateway over its control socket."""

import json

import click

from cherrydoor.cli.group import main, send_command


@main.group()
def release():
    """Control the releases of a running gateway.

    The control socket is `releases.control` in its configuration.
    """


def add_release_command(name, action, help_text, version=False):
    """Adds the sub-command of `release` with this name.

    Args:
        name: Its name on the command line.
        action: The command that is sent to the gateway.
        help_text: Its help text.
        version: Whether it has an argument for the version.
    """

    def act(control, function, as_json=False, **more):
        answer = send_command(
            control, do=action, **({"function": function} if function else {}), **more
        )
        if as_json:
            return print(json.dumps(answer, indent=1))
        print(
            f"{'function':24} {'version':>8} {'state':10} {'share':>6} {'calls':>7}  "
            "errors new old, slow new old"
        )
        for row in answer["releases"]:
            print(
                f"{row['function']:24} {row['version']:>8} {row['state']:10} "
                f"{row['share']:6.0%} {row['calls']:7}  "
                f"{row['errors'][0]}/{row['errors'][1]} {row['errors'][2]}/{row['errors'][3]}, "
                f"{row['slow'][0]}/{row['slow'][1]} {row['slow'][2]}/{row['slow'][3]}, "
                f"{'held ' if row['held'] else ''}{row['why']}"
            )

    act.__doc__ = help_text
    callback = click.argument("function", required=action != "show")(act)
    if version:
        callback = click.argument("version", type=click.IntRange(1))(callback)
    callback = click.option("--json", "as_json", is_flag=True)(callback)
    callback = click.option(
        "--control", required=True, type=click.Path(), help="The gateway's control socket."
    )(callback)
    release.command(name)(callback)


for name, action, help_text in (
    (
        "show",
        "show",
        "Show all releases: their share, the evidence so far and the reason of the last decision.",
    ),
    ("hold", "hold", "Pause the rollout of FUNCTION's release. It may still be rolled back."),
    ("go-on", "go on", "Resume a paused rollout."),
    ("withdraw", "withdraw", "Roll FUNCTION's release back."),
    ("complete", "complete", "Send all requests of FUNCTION to its release now."),
):
    add_release_command(name, action, help_text)
add_release_command(
    "announce", "announce", "Announce VERSION of FUNCTION at this gateway only.", True
)

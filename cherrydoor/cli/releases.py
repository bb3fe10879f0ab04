"""`cherrydoor release`: words to a running gateway over its control socket."""

import json

import click

from cherrydoor.cli.group import main, send_command


@main.group()
def release():
    """Speak to a running gateway about releases, over the socket that its lease names as `releases.control`."""


def spoken_command(name, what, about, version=False):
    def act(control, function, as_json=False, **more):
        answer = send_command(
            control, do=what, **({"function": function} if function else {}), **more
        )
        if as_json:
            return print(json.dumps(answer, indent=1))
        print(
            f"{'function':24} {'version':>8} {'state':10} {'share':>6} {'calls':>7}  errors new old, slow new old"
        )
        for row in answer["releases"]:
            print(
                f"{row['function']:24} {row['version']:>8} {row['state']:10} {row['share']:6.0%} {row['calls']:7}  "
                f"{row['errors'][0]}/{row['errors'][1]} {row['errors'][2]}/{row['errors'][3]}, "
                f"{row['slow'][0]}/{row['slow'][1]} {row['slow'][2]}/{row['slow'][3]}, "
                f"{'held ' if row['held'] else ''}{row['why']}"
            )

    act.__doc__ = about
    made = click.argument("function", required=what != "show")(act)
    if version:
        made = click.argument("version", type=click.IntRange(1))(made)
    made = click.option("--json", "as_json", is_flag=True)(made)
    made = click.option(
        "--control", required=True, type=click.Path(), help="The gateway's control socket."
    )(made)
    release.command(name)(made)


for name, what, about in (
    ("show", "show", "Show releases: share, figures behind each verdict, why."),
    ("hold", "hold", "Take no further step with FUNCTION's release; it may still be withdrawn."),
    ("go-on", "go on", "End a hold."),
    ("withdraw", "withdraw", "Take FUNCTION's release back."),
    ("complete", "complete", "Give FUNCTION's release all events now."),
):
    spoken_command(name, what, about)
spoken_command("announce", "announce", "Announce VERSION of FUNCTION at this gateway alone.", True)

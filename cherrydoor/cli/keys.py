"""`cherrydoor keys`: a local authority in a folder, and what is in service."""

import json
import sys

import click

from cherrydoor.cli.group import main, problems


@main.group()
def keys():
    """Make a local authority, certificates and tokens in a folder, and show what is in service and when it ends."""


def in_folder(do):
    """Runs do(folder) on the folder of keys; its faults in one line."""
    from cherrydoor.tls.errors import LocalAuthorityError

    try:
        said = do()
    except (LocalAuthorityError, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    if said:
        print(said)


def folder_of(path):
    from cherrydoor.tls.local_authority import LocalAuthority

    return LocalAuthority(path)


@keys.command()
@click.argument("folder", type=click.Path())
@click.option("--days", default=3650.0, show_default=True)
@click.option(
    "--next",
    "more",
    is_flag=True,
    help="One more, trusted beside the one there is: begins a change-over.",
)
def authority(folder, days, more):
    """Make an authority in FOLDER."""
    in_folder(lambda: folder_of(folder).create_authority(days, more))


@keys.command()
@click.argument("folder", type=click.Path())
def retire(folder):
    """Trust the oldest authority no more: ends a change-over."""
    in_folder(lambda: folder_of(folder).retire())


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("kind", type=click.Choice(["gateway", "host", "client"]))
@click.argument("name")
@click.option("--days", default=90.0, show_default=True)
@click.option(
    "--for",
    "addresses",
    multiple=True,
    help="Address or name by which it is reached; several are possible.",
)
def issue(folder, kind, name, days, addresses):
    """Issue NAME.pem and NAME.key by the newest authority. A client's NAME is the one it is known by in leases."""
    in_folder(lambda: folder_of(folder).issue(kind, name, days, addresses))


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("names", nargs=-1, required=True)
def revoke(folder, names):
    """Put the certificates of NAMES on the list of revocations."""
    in_folder(lambda: folder_of(folder).revoke(*names))


@keys.command("token-key")
@click.argument("folder", type=click.Path())
@click.argument("kid")
@click.option(
    "--office", "offices", multiple=True, help="For this client alone; several are possible."
)
@click.option("--drop", is_flag=True, help="Take it out: tokens of it are void.")
def token_key(folder, kid, offices, drop):
    """Make the key KID, by which tokens are signed."""
    in_folder(
        lambda: (
            folder_of(folder).drop_token_key(kid)
            if drop
            else folder_of(folder).token_key(kid, offices)
        )
    )


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("kid")
@click.argument("office")
@click.option("--days", default=30.0, show_default=True)
def token(folder, kid, office, days):
    """Print a token by which a client proves in its hello that it is OFFICE."""
    in_folder(lambda: folder_of(folder).token(kid, office, days))


@keys.command("show")
@click.argument("folder", type=click.Path(), required=False)
@click.option(
    "--lease", "lease_file", type=click.Path(), help="What this lease names, in place of a folder."
)
@click.option("--json", "as_json", is_flag=True)
def show_keys(folder, lease_file, as_json):
    """Show what there is, and when each ends; 1 where something is wrong or has ended."""
    from cherrydoor.config import Problems
    from cherrydoor.tls.inventory import list_credentials

    if (folder is None) == (lease_file is None):
        raise click.UsageError("FOLDER or --lease FILE, one of them")
    try:
        rows = list_credentials(folder, lease_file)
    except Problems as error:
        problems(error, as_json)
    if as_json:
        print(json.dumps(rows, indent=1))
    else:
        for row in rows:
            print(f"{row['kind']:12} {row['name']:28} {row['state']:34} {row['file']}")
    sys.exit(0 if all(row["good"] for row in rows) else 1)

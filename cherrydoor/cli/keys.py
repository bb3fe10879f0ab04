"""`cherrydoor keys`: a local certificate authority in a folder, and a list of credentials."""

import json
import sys

import click

from cherrydoor.cli.group import exit_with_problems, main


@main.group()
def keys():
    """Create authorities, certificates and tokens in a folder, and show when they expire."""


def run_and_print(action):
    """Runs an action on a folder of keys and prints its result; an error is printed as one line."""
    from cherrydoor.tls.errors import LocalAuthorityError

    try:
        output = action()
    except (LocalAuthorityError, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    if output:
        print(output)


def local_authority(path):
    """Returns the local authority in a folder."""
    from cherrydoor.tls.local_authority import LocalAuthority

    return LocalAuthority(path)


@keys.command()
@click.argument("folder", type=click.Path())
@click.option("--days", default=3650.0, show_default=True)
@click.option(
    "--next",
    "more",
    is_flag=True,
    help="Add an authority that is trusted next to the current one. This starts a key rotation.",
)
def authority(folder, days, more):
    """Create an authority in FOLDER."""
    run_and_print(lambda: local_authority(folder).create_authority(days, more))


@keys.command()
@click.argument("folder", type=click.Path())
def retire(folder):
    """Stop trusting the oldest authority. This ends a key rotation."""
    run_and_print(lambda: local_authority(folder).retire())


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("kind", type=click.Choice(["gateway", "host", "client"]))
@click.argument("name")
@click.option("--days", default=90.0, show_default=True)
@click.option(
    "--for",
    "addresses",
    multiple=True,
    help="Address or host name of its server; can be given several times.",
)
def issue(folder, kind, name, days, addresses):
    """Issue NAME.pem and NAME.key, signed by the newest authority.

    The NAME of a client is its name in the gateways' configuration.
    """
    run_and_print(lambda: local_authority(folder).issue(kind, name, days, addresses))


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("names", nargs=-1, required=True)
def revoke(folder, names):
    """Add the certificates of NAMES to the revocation list."""
    run_and_print(lambda: local_authority(folder).revoke(*names))


@keys.command("token-key")
@click.argument("folder", type=click.Path())
@click.argument("kid")
@click.option(
    "--office",
    "offices",
    multiple=True,
    help="Limit the key to this client; can be given several times.",
)
@click.option("--drop", is_flag=True, help="Remove the key, which makes its tokens invalid.")
def token_key(folder, kid, offices, drop):
    """Create the key KID, which signs tokens."""
    run_and_print(
        lambda: (
            local_authority(folder).drop_token_key(kid)
            if drop
            else local_authority(folder).token_key(kid, offices)
        )
    )


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("kid")
@click.argument("office")
@click.option("--days", default=30.0, show_default=True)
def token(folder, kid, office, days):
    """Print a token with which a client proves in its hello that it is OFFICE."""
    run_and_print(lambda: local_authority(folder).token(kid, office, days))


@keys.command("show")
@click.argument("folder", type=click.Path(), required=False)
@click.option(
    "--lease",
    "lease_file",
    type=click.Path(),
    help="Show the files named by this configuration file instead of a folder.",
)
@click.option("--json", "as_json", is_flag=True)
def show_keys(folder, lease_file, as_json):
    """Show all credentials and when they expire.

    Exits with 1 if one is invalid or has expired.
    """
    from cherrydoor.config import Problems
    from cherrydoor.tls.inventory import list_credentials

    if (folder is None) == (lease_file is None):
        raise click.UsageError("expected either FOLDER or --lease FILE")
    try:
        rows = list_credentials(folder, lease_file)
    except Problems as error:
        exit_with_problems(error, as_json)
    if as_json:
        print(json.dumps(rows, indent=1))
    else:
        for row in rows:
            print(f"{row['kind']:12} {row['name']:28} {row['state']:34} {row['file']}")
    sys.exit(0 if all(row["good"] for row in rows) else 1)

"""Entry point of ``python -m dykemast``."""

from dykemast._internal.cli.main import main

main()

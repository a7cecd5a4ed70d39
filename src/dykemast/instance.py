"""Entry point of the router on the users' platform.

``python -m dykemast.instance`` is the same as ``dykemast instance`` without the
command line parser, whose import takes memory in each process.
"""

import os

# The program uses plain HTTP only, but its HTTP client loads the certificates
# of the machine when it is imported, at each start of a router.
os.environ['SSL_CERT_FILE'] = os.devnull

from dykemast._internal.commands.instance import run_instance  # noqa: E402

if __name__ == '__main__':
    run_instance()

"""Start of the router on the users' platform: ``python -m dykemast.instance``.

The same as ``dykemast instance``, without the parser of the command line,
whose import takes memory in each process.
"""

import os

# All this program speaks is plain HTTP, and its HTTP client reads the
# certificates of the machine when it is imported, at each start of a router.
os.environ['SSL_CERT_FILE'] = os.devnull

from dykemast._internal.commands.instance import run_instance  # noqa: E402

if __name__ == '__main__':
    run_instance()

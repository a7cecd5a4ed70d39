"""Start of the router on the users' platform: ``python -m dykemast.instance``.

The same as ``dykemast instance``, without the parser of the command line,
whose import takes memory in each process.
"""

from dykemast._internal.commands.instance import run_instance

if __name__ == '__main__':
    run_instance()

"""Run a small fleet until interrupted; print where everything is."""

import argparse
import contextlib
import json
import signal
import sys

from tools.fleet import Fleet
from tools.files import OPERATOR_KEY, WORKSPACES
from tools.layout import HOST, plan_layout


def describe(fleet: Fleet) -> dict:
    """Describe a fleet for whoever aims something at it.

    :param fleet: the fleet.
    :returns: addresses, keys and process ids.
    """
    layout = fleet.layout
    members = [*layout.routers, *layout.engines, *layout.plains]
    return {
        'platform': f'http://{HOST}:{layout.platform_port}',
        'keys': {name: f'{name}-key' for name in WORKSPACES},
        'operator_key': OPERATOR_KEY,
        'members': [
            {
                **member._asdict(),
                'host': HOST,
                'pid': fleet.running[member.name].pid,
            }
            for member in members
        ],
        'platform_pid': fleet.running['platform'].pid,
        'logs': str(fleet.logs),
    }


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument('--engines', type=int, default=2)
    options = parser.parse_args()
    fleet = Fleet(plan_layout(options.routers, options.engines))
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        stack.enter_context(contextlib.suppress(KeyboardInterrupt))
        _run(fleet)


def _run(fleet: Fleet) -> None:
    fleet.start()
    sys.stdout.write(f'{json.dumps(describe(fleet))}\n')
    sys.stdout.flush()
    signal.pause()


if __name__ == '__main__':
    main()

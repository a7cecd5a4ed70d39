"""Settings and configuration of a small fleet."""

import hashlib
from typing import Any, Final

from tools.layout import HOST, Layout, Member

#: Key that all routers of the fleet share.
PEER_KEY: Final = 'a shared secret of the routers'
#: Key of the operators.
OPERATOR_KEY: Final = 'operator-key'
#: Workspaces that the fleet knows; their keys are ``NAME-key``.
WORKSPACES: Final = ('joinville', 'curitiba')


def make_settings(layout: Layout, router: Member) -> dict[str, Any]:
    """Make the settings of a router.

    :param layout: the fleet.
    :param router: which router.
    :returns: fields of its settings file.
    """
    return {
        'instance': router.name,
        'hall': router.hall,
        'host': HOST,
        'caller_port': router.caller_port,
        'peer_port': router.port,
        'admin_port': router.admin_port,
        'platform': f'http://{HOST}:{layout.platform_port}',
        'peer_key': PEER_KEY,
        'operator_key_sha256': hash_key(OPERATOR_KEY),
        'list_lag': 2.0,
        'keep_entry': 1.0,
    }


def make_configuration() -> dict[str, Any]:
    """Make the configuration of a fleet.

    :returns: fields of the configuration file.
    """
    workspaces = [
        {
            'name': name,
            'key_sha256': hash_key(f'{name}-key'),
            'policy': 'counter',
        }
        for name in WORKSPACES
    ]
    return {
        'services': [
            {'name': 'llm', 'kind': 'engine'},
            {'name': 'orders', 'kind': 'plain', 'call_tokens': 1},
        ],
        'models': [{'name': 'tiny-1', 'service': 'llm', 'max_tokens': 256}],
        'workspaces': workspaces,
        'policies': [
            {
                'name': 'counter',
                'allow': 'request.bytes < 100000',
                'budgets': '[request.budget]',
            }
        ],
    }


def hash_key(key: str) -> str:
    """Hash a key as configurations hold it.

    :param key: the key.
    :returns: hexadecimal digest.
    """
    return hashlib.sha256(key.encode()).hexdigest()

"""Settings file of an instance, as the users' platform writes it."""

from types import MappingProxyType
from typing import Any

from tests.lib.users_objects import HALL

#: Time until an evacuation is in force.
EVACUATE_MS = 3000
REGIONS = MappingProxyType(
    {'joinville': 'sul', 'curitiba': 'sul', 'cluj': 'norte'}
)
TEMPLATE = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
ip = "{host}"
zone = "{hall}"
region = "{region}"
portRange = [{peer},{tunnel}]
unknown = "ignored"
[zones]
joinville = "sul"
curitiba = "sul"
cluj = "norte"
[listen]
frontend = "{host}:{caller}"
readiness = "{host}:{readiness}"
directory = "{host}:{entry}"
[limits]
maxFds = 4200
cpuQuota = 0.5
cores = 2
linkMbps = 1000.0
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetSlack = 52
budgetWindowS = 10
ttl_max_s = 5
configApplyMs = 2000
evacuateMs = {evacuate_ms}
[platform]
address = "127.0.0.1:{store}"
"""


def make_settings(deployment: Any, name: str) -> str:
    """Write the settings of one router of a deployment."""
    store = deployment.backend_ports['store']
    hall = deployment.halls.get(name, HALL)
    return TEMPLATE.format(
        name=name,
        hall=hall,
        region=REGIONS[hall],
        evacuate_ms=EVACUATE_MS,
        host=deployment.find_host(name),
        store=deployment.store_ports.get(name, store),
        **deployment.ports,
    )

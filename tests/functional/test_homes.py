"""Routes and workspaces with allowed regions."""

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import stream
from tests.lib.users_objects import HOST, make_stream_route
from tools.calls import call

ABROAD = 'cluj'
HOME_ROUTE = make_stream_route('/stream/home/', allowedRegions=['sul'])
FREE_ROUTE = make_stream_route('/stream/free/')


def start_two_regions(**options: object) -> Deployment:
    deployment = Deployment(routers=2)
    deployment.halls = {'engine-1': ABROAD, 'node-1': ABROAD}
    routes = (HOME_ROUTE, FREE_ROUTE)
    return deployment.start(routes=routes, prepaid=1_000_000, **options)


def ask_all(deployment: Deployment, path: str) -> set[int]:
    return {
        stream(deployment, path, router=router, prompt=f'a{number}:100').status
        for number in range(8)
        for router in deployment.names
    }


def count_arrivals(deployment: Deployment, server: str) -> int:
    return len(deployment.control(server)['arrivals'])


def leave(deployment: Deployment, server: str) -> None:
    stored = deployment.read_object('servers', server)
    changed = ['servers', server, {**stored, 'state': 'draining'}]
    deployment.control('store', put=[changed])


def test_a_route_with_a_home_is_never_served_abroad() -> None:
    deployment = start_two_regions()
    assert ask_all(deployment, '/stream/home/') == {200}
    assert not count_arrivals(deployment, 'engine-1')
    assert ask_all(deployment, '/stream/free/') == {200}
    assert count_arrivals(deployment, 'engine-1')
    before = count_arrivals(deployment, 'engine-1')
    leave(deployment, 'engine-0')

    def is_refused() -> bool:
        return ask_all(deployment, '/stream/home/') == {503}

    assert wait_until(is_refused)
    assert count_arrivals(deployment, 'engine-1') == before
    deployment.stop()


def test_a_workspace_with_a_home_binds_as_well() -> None:
    workspace = {'allowedRegions': ['norte']}
    deployment = start_two_regions(workspace=workspace)
    assert ask_all(deployment, '/stream/home/') == {503}
    assert ask_all(deployment, '/stream/free/') == {200}
    assert not count_arrivals(deployment, 'engine-0')
    deployment.stop()


def list_entries(deployment: Deployment, router: str, where: str) -> list[str]:
    url = deployment.find_url(router, 'entry')
    return call(f'{url}/resolve?name={HOST}&{where}')['addresses']


def list_near(deployment: Deployment) -> list[str]:
    return list_entries(deployment, 'node-0', 'region=norte&zone=cluj')


def test_entry_answers_name_routers_of_the_home() -> None:
    deployment = start_two_regions()
    own, abroad = (
        '{0}:{1}'.format(deployment.find_host(name), deployment.ports['caller'])
        for name in deployment.names
    )
    sul = 'region=sul&zone=joinville'
    # Once the router in the other region is known, its address may be listed.
    assert wait_until(lambda: len(list_near(deployment)) == 2)
    assert list_entries(deployment, 'node-0', sul) == [own]
    assert list_entries(deployment, 'node-1', sul) == [own]
    # The caller's own region does not count as another one.
    assert set(list_near(deployment)) == {own, abroad}
    deployment.stop()

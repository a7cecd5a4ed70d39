"""Each promise of the soak is seen to be broken, on made-up witnesses."""

from typing import Any

from tests.soak.history import Event
from tests.soak.promises import find_broken
from tests.soak.seen import (
    CLOSED,
    CUT,
    LATE,
    LEFT,
    UNREACHED,
    WHOLE,
    Seen,
    Witness,
)

ROUTER = 'node-0'
PLAIN = 'plain-0'
ENGINE = 'engine-0'
STOP = Event('stop', ROUTER, 10, 18)


def make_seen(end: str = WHOLE, status: int = 200, **fields: Any) -> Seen:
    made = Seen(12, ROUTER, '/price/1', 'a', status, b'done', 12.5, end)
    return made._replace(**fields)


def make_run(request_id: str = 'a', **fields: Any) -> dict[str, Any]:
    run = {'id': request_id, 'path': '/price/1', 'headers': {}, 'events': 0}
    return {**run, 'at': 12.1, 'ended': 12.4, **fields}


def judge(*seen: Seen, **fields: Any) -> list[str]:
    """Judge a witness; a request ``a`` ran at the plain server."""
    witness = Witness(
        list(seen),
        runs={PLAIN: [make_run()]},
        arrivals={PLAIN: [('a', 12.1)]},
        prepaid=1000,
        left_at={},
        events=[STOP],
        calm_at=0,
        takers={ROUTER},
        routers={ROUTER},
        judged_at=60,
        tunnels={},
        sent={},
    )
    return list(find_broken(witness._replace(**fields)))


def test_a_whole_answer_keeps_all_promises() -> None:
    assert not judge(make_seen())


def test_a_cut_answer_beside_a_stop_is_a_loss() -> None:
    for at in (10.5, 13.2, 16.9):
        found = judge(make_seen(CUT, at=at, ended=at + 0.3))
        assert len(found) == 1
        assert 'lost, cut' in found[0]


def test_a_refusal_for_good_by_an_old_version_is_seen() -> None:
    refused = make_seen(status=404, path='/new/1', at=12, request_id='b')
    assert not judge(refused)
    for added_at, late in ((9.5, True), (10.5, False)):
        added = Event('route_added', 'store', added_at, added_at)
        found = judge(refused, events=[added])
        assert bool(found) == late


def test_a_close_is_a_loss_once_the_request_was_passed_on() -> None:
    closed = make_seen(CLOSED, 0)
    assert 'lost, closed' in judge(closed)[0]
    assert not judge(closed, arrivals={PLAIN: []})


def test_a_close_long_after_the_request_was_sent_is_a_loss() -> None:
    closed = make_seen(CLOSED, 0, ended=13.2)
    assert 'lost, closed' in judge(closed, arrivals={PLAIN: []})[0]


def test_a_failure_that_no_server_made_is_a_loss() -> None:
    assert 'lost, whole' in judge(make_seen(status=500))[0]


def test_a_request_that_an_ending_router_gave_up_is_a_loss() -> None:
    body = b'{"error":{"code":"cut_by_stop"}}'
    assert 'lost, whole' in judge(make_seen(status=502, body=body))[0]
    body = b'{"error":{"code":"upstream_failed"}}'
    assert not judge(make_seen(status=502, body=body))


def test_faults_of_the_router_or_of_the_server_excuse_a_cut() -> None:
    for kind, target in (
        ('kill', ROUTER),
        ('freeze', ROUTER),
        ('server', PLAIN),
        ('link', PLAIN),
    ):
        event = Event(kind, target, 12.2, 12.3)
        assert not judge(make_seen(CUT), events=[STOP, event])


def test_faults_elsewhere_excuse_no_cut() -> None:
    for kind, target in (
        ('kill', 'node-1'),
        ('link', ROUTER),
        ('link', ENGINE),
        ('store', 'store'),
        ('reload', ROUTER),
        ('stop again', ROUTER),
        ('grace over', ROUTER),
        ('configure', 'store'),
    ):
        event = Event(kind, target, 12.2, 12.3)
        found = judge(make_seen(CUT), events=[STOP, event])
        assert any(one.startswith('lost') for one in found), kind


def test_faults_long_before_excuse_no_cut() -> None:
    event = Event('kill', ROUTER, 9, 10)
    assert judge(make_seen(CUT), events=[event])


def test_what_runs_until_the_kill_may_be_given_up() -> None:
    long = make_seen(CUT, at=12.9, ended=16.7, time_left=9)
    assert not judge(long)
    assert judge(long._replace(at=13.1))
    assert judge(long._replace(ended=16.5))


def test_what_has_used_its_time_is_no_loss() -> None:
    assert not judge(make_seen(CUT, ended=14.4))
    assert judge(make_seen(CUT, ended=14.2))


def test_no_answer_long_after_its_time_is_a_loss() -> None:
    late = make_seen(LATE, 0, ended=16.5)
    assert 'lost, late' in judge(late)[0]
    assert judge(late, events=[Event('server', PLAIN, 12, 13)])
    assert not judge(late, events=[Event('freeze', ROUTER, 12, 13)])


def test_a_refusal_of_what_ran_is_seen() -> None:
    for status in (429, 503):
        found = judge(make_seen(status=status))
        assert found == ['refused as not run, and ran: a']
        assert not judge(make_seen(status=status), runs={})


def test_a_second_run_is_seen() -> None:
    run = make_run(path='/order/1')
    runs = {PLAIN: [run, run]}
    assert 'ran 2 times' in judge(make_seen(), runs=runs)[0]


def test_an_overspent_budget_is_seen() -> None:
    run = make_run(headers={'x-token-usage': '990,12'}, events=11)
    assert 'overspend' in judge(make_seen(), runs={ENGINE: [run]})[0]
    assert not judge(make_seen(), runs={ENGINE: [run]}, prepaid=1001)


def test_a_part_of_an_answer_that_looks_whole_is_seen() -> None:
    stream = make_seen(path='/stream/1', events=2, body=b'id: 1\n\n')
    assert 'not the whole answer' in judge(stream)[0]
    assert 'not the whole answer' in judge(make_seen(body=b'do'))[0]


def test_an_older_configuration_is_seen() -> None:
    gone = make_seen(status=404, path='/order/1', at=11, ended=11.5)
    served = make_seen(path='/order/1', request_id='b')
    assert 'older configuration' in judge(gone, served)[0]
    # It was sent before the first answer told that the route is gone.
    assert not judge(gone, served._replace(at=11.4))


def test_work_for_a_caller_who_left_is_seen() -> None:
    left = make_seen(LEFT, 0)
    for ended in (13.1, 0):
        run = make_run(ended=ended)
        assert 'went on at plain-0' in judge(left, runs={PLAIN: [run]})[0]
    assert not judge(left, runs={PLAIN: [make_run(ended=12.9)]})


def test_a_late_begin_for_a_caller_who_left_is_seen() -> None:
    runs = {PLAIN: [make_run(at=13.2, ended=13.3)]}
    assert 'went on' in judge(make_seen(LEFT, 0), runs=runs)[0]


def test_work_that_may_not_be_repeated_goes_on() -> None:
    left = make_seen(LEFT, 0, path='/order/1')
    assert not judge(left, runs={PLAIN: [make_run(ended=14)]})


def test_faults_on_the_way_excuse_work_for_nobody() -> None:
    runs = {PLAIN: [make_run(ended=14)]}
    for kind, target in (('freeze', ROUTER), ('link', PLAIN)):
        event = Event(kind, target, 12.2, 12.3)
        assert not judge(make_seen(LEFT, 0), runs=runs, events=[event])


def test_new_work_of_a_leaving_server_is_seen() -> None:
    told = {'left_at': {PLAIN: 10}, 'events': []}
    assert 'sent late to plain-0' in judge(make_seen(), **told)[0]
    assert not judge(make_seen(), left_at={PLAIN: 10.2}, events=[])


def test_faults_excuse_who_could_not_hear_of_a_leaving_server() -> None:
    for kind, target in (('store', 'store'), ('link', ROUTER)):
        event = Event(kind, target, 8, 8.5)
        assert not judge(make_seen(), left_at={PLAIN: 10}, events=[event])
        far = event._replace(target='node-1')
        assert judge(make_seen(), left_at={PLAIN: 10}, events=[far])


def test_a_service_that_does_not_come_back_is_seen() -> None:
    served = make_seen(at=33)
    away = [
        make_seen(UNREACHED, 0, at=33, request_id=str(number))
        for number in range(4)
    ]
    back = {'calm_at': 20, 'events': []}
    assert 'not back: 1 of 5' in judge(served, *away, **back)[0]
    assert not judge(served, *away[:3], **back)
    assert 'not back: 0 of 0' in judge(**back)[0]
    early = [one._replace(at=31.9) for one in away]
    assert not judge(served, *early, **back)


def test_true_refusals_and_leavers_are_not_owed() -> None:
    seen = [make_seen(status=status, at=33) for status in (402, 404)]
    left = make_seen(LEFT, 0, at=33, path='/order/1')
    served = make_seen(at=33)
    assert not judge(*seen, left, served, calm_at=20, events=[])


def test_refusals_by_a_budget_are_true_once_it_is_spent() -> None:
    one = make_seen(status=429, at=33, request_id='b')
    seen = [make_seen(at=33), one, one, one, one]
    assert 'not back: 1 of 5' in judge_return(seen, '970,12')[0]
    assert not judge_return(seen, '971,12')


def judge_return(seen: list[Seen], spent: str) -> list[str]:
    run = make_run(headers={'x-token-usage': spent})
    return judge(*seen, runs={ENGINE: [run]}, calm_at=20, events=[])


def test_a_router_that_takes_no_request_is_seen() -> None:
    routers = {ROUTER, 'node-1'}
    found = judge(make_seen(at=33), calm_at=20, routers=routers)
    assert found == ['node-1 takes no request after all faults are over']


def list_repeats(count: int, pause: float) -> dict[str, Any]:
    """Make arrivals, each of which comes twice."""
    first = [(str(number), 1.0) for number in range(count)]
    again = []
    for request_id, _ in first:
        moment = 20 + len(again) * pause
        again.append((request_id, moment))
    return {PLAIN: first, 'plain-1': again}


def test_a_storm_of_retries_is_seen() -> None:
    # Of 10 requests 2 more sends are allowed, and the slack of 52.
    seen = [make_seen(at=20) for _ in range(10)]
    assert not judge(*seen, arrivals=list_repeats(54, 0.1))
    storm = judge(*seen, arrivals=list_repeats(55, 0.1))
    assert storm == ['55 sends beyond the first in 10.0 s']
    assert not judge(*seen, arrivals=list_repeats(80, 0.2))


def test_retries_count_for_each_service() -> None:
    arrivals = list_repeats(55, 0.1)
    at_engines = {ENGINE: arrivals[PLAIN], 'engine-1': arrivals['plain-1']}
    streams = [make_seen(at=20, path='/stream/1') for _ in range(15)]
    others = [make_seen(at=20) for _ in range(15)]
    assert not judge(*streams, arrivals=at_engines)
    assert judge(*others, arrivals=at_engines)


def test_a_request_that_goes_on_to_end_servers_is_seen() -> None:
    ends = [Event('ended', PLAIN, at, at) for at in (10, 11, 12)]
    late = [Event('ended', ENGINE, at, at) for at in (17, 18, 19)]
    assert not judge(make_seen(), events=[*ends, *late])
    more = Event('ended', PLAIN, 20, 20)
    storm = judge(make_seen(), events=[*ends, *late, more])
    assert storm == ['4 servers ended late, 7 in all']


def test_a_cut_answer_is_excused_by_the_end_of_the_router_that_carried_it() -> (
    None
):
    cut = make_seen(CUT, at=30, ended=31)
    kill = Event('kill', 'node-2', 30.9, 33)
    assert judge(cut, events=[kill])
    assert not judge(cut, events=[kill], tunnels={'a': {'node-2'}})
    assert judge(cut, events=[kill], tunnels={'a': {'node-3'}})


def make_stream(number: int, versions: str, **fields: Any) -> Seen:
    body = ''.join(
        f'id: {nth}\ndata: engine {version}\n\n'
        for nth, version in enumerate(versions, start=1)
    )
    return make_seen(
        path='/stream/1',
        request_id=f's{number}',
        body=body.encode(),
        events=len(versions),
        at=30,
        ended=31,
        **fields,
    )


def test_streams_of_two_versions_are_found() -> None:
    whole = [make_stream(number, 'xx') for number in range(3)]
    mixed = [make_stream(number, 'xy') for number in range(3)]
    assert not judge(*whole, *mixed[:2])
    assert len(judge(*whole, *mixed)) == 1


def test_streams_that_are_taken_up_and_do_not_go_on_are_found() -> None:
    new = [make_stream(number, 'x') for number in range(20)]
    resumed = [
        make_seen(
            status=503, path='/stream/1', request_id=f'r{number}', resumes='s1'
        )
        for number in range(20)
    ]
    apart = [one._replace(at=11, ended=11.1) for one in resumed]
    late = [one._replace(at=40, ended=40.1) for one in resumed]
    assert len(judge(*new, *late)) == 1
    assert not judge(*new, *late[:11])
    assert not judge(*new, *apart)


def test_a_router_that_is_there_at_the_end_of_its_grace_is_seen() -> None:
    over = Event('grace over', ROUTER, 18, 18)
    assert judge(make_seen(), events=[STOP, over])
    # Paused as it was told to stop, it has still time to end.
    early = Event('freeze', ROUTER, 9, 12)
    assert judge(make_seen(), events=[early, STOP, over])
    late = Event('freeze', ROUTER, 15, 17.5)
    assert not judge(make_seen(), events=[STOP, late, over])


def make_streams(workspace: str, served: int, refused: int) -> list[Seen]:
    return [
        make_stream(number, 'x')._replace(
            workspace=workspace,
            request_id=f'{workspace}{number}',
            status=200 if number < served else 429,
        )
        for number in range(served + refused)
    ]


def test_a_workspace_that_is_served_far_less_often_is_found() -> None:
    many = make_streams('joinville', 100, 0)
    assert not judge(*many, *make_streams('lages', 10, 10))
    short = make_streams('lages', 2, 28)
    assert len(judge(*many, *short)) == 1
    # It may have consumed what it paid for.
    run = make_run('lages0', headers={'x-token-usage': '600,5'})
    assert not judge(*many, *short, runs={ENGINE: [run]})


def test_what_one_workspace_has_paid_is_not_for_another() -> None:
    one = make_streams('joinville', 1, 0)
    seen = one + make_streams('lages', 1, 0)
    usage = {'x-token-usage': '900,5'}
    runs = [
        make_run(f'{name}0', headers=usage) for name in ('joinville', 'lages')
    ]
    assert not judge(*seen, runs={ENGINE: runs})
    runs.append(make_run('of-nobody', headers=usage))
    assert len(judge(*seen, runs={ENGINE: runs})) == 1

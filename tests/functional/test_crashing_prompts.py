"""A part of prompts that crashes servers is quarantined, at any router.

No two of the requests under which engines crash are alike, so crashes cannot be
related to whole requests.
"""

import time

from tests.lib.part_crashes import (
    EVENT_INTERVAL_S,
    MAX_LATE_SENDS,
    MIN_SOUND_SHARE,
    PartPlay,
    compute_sound_share,
    count_late_crashes,
    list_refused,
)

BAD = 'bad0'
OTHER = 'bad1'
MIDDLE = f'aa:40,{BAD}:30'
FIRST = f'{BAD}:40,bb:30'
#: Crashes that any quarantine takes at least.
MIN_CRASHES = 3
CALM_S = 2.0
CRASHING_S = 12.0
AFTER_LOSS_S = 5.0


def start_play(*prompts: str, how: str = '') -> PartPlay:
    play = PartPlay(prompts, (BAD, OTHER), how)
    for name in play.deployment.backend_ports:
        if 'engine' in name:
            play.deployment.control(name, pause=EVENT_INTERVAL_S)
    time.sleep(CALM_S)
    return play


def check_play(play: PartPlay, parts: int = 1) -> None:
    ends = play.keeper.ends
    late = count_late_crashes(play)
    assert len(ends) >= MIN_CRASHES, 'the part crashes servers'
    assert late <= MAX_LATE_SENDS * parts, (late, ends)
    share = compute_sound_share(play)
    assert share >= MIN_SOUND_SHARE, share


def check_prompts(*prompts: str, how: str = '', parts: int = 1) -> None:
    play = start_play(*prompts, how=how)
    play.send_crashing(CRASHING_S)
    play.stop()
    check_play(play, parts)


def test_a_part_that_crashes_servers_is_known_to_all_routers() -> None:
    check_prompts(MIDDLE)


def test_a_first_part_that_crashes_servers_is_known_to_all_routers() -> None:
    check_prompts(FIRST)


def test_a_part_that_crashes_servers_after_half_an_event_is_known() -> None:
    check_prompts(MIDDLE, how='half')


def test_two_parts_that_crash_servers_are_known_to_all_routers() -> None:
    check_prompts(MIDDLE, f'aa:40,{OTHER}:30', parts=2)


def test_a_part_that_crashes_servers_is_known_after_all_routers_are_lost() -> (
    None
):
    play = start_play(MIDDLE)
    play.send_crashing(CRASHING_S)
    names = play.deployment.names
    for name in names:
        play.deployment.processes.kill(name)
    for name in names:
        play.deployment.start_router(name)
    for name in names:
        play.deployment.wait_ready(name)
    play.send_crashing(AFTER_LOSS_S)
    play.stop()
    check_play(play)


def test_a_common_part_is_not_blamed_for_crashes_of_other_causes() -> None:
    play = start_play()
    play.crash_servers(CRASHING_S)
    refused = list_refused(play)
    play.stop()
    assert not refused, refused[0]

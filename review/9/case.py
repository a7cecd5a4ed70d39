"""The last router of a fleet sends clients to the machines that are gone.

Two of three machines lose power for good (none with TROUBLE=0). From contactMs
+ 3 s later on a client asks the third where to go. Writes record.txt.
"""

import asyncio
import contextlib
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import (  # noqa: E402
    HOST,
    DarkMachine,
    Fleet,
    Store,
    Worker,
    call,
    make_config,
    make_route,
    now,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_S = 3.0
#: Answers that the rule allows.
ALLOWED = 3
ASKED_FOR_S = 40
INTERVAL_S = 1.0


class Case:
    def __init__(self):
        self.lines = []
        self.began = now()

    def note(self, text):
        line = f'{now() - self.began:6.2f} s  {text}'
        self.lines.append(line)
        print(line, flush=True)

    async def run(self):
        self.store = await Store().start()
        config = make_config(
            1,
            [make_route('/stock/', 'balcao', 'unsafe')],
            [{'name': 'balcao', 'maxConns': 96, 'healthPath': '/healthz'}],
            [{'name': 'joinville', 'apiKeys': ['key-1']}],
        )
        await self.store.put('config', 'main', config)
        worker = await Worker(self.store, 'balcao', 'i-0').start()
        self.fleet = Fleet([self.store.port] * 3)
        dark = []
        try:
            for number in range(3):
                self.fleet.start(number, bootstrap=True)
            for number in range(3):
                await self.fleet.wait_ready(number)
            await asyncio.sleep(5)
            if TROUBLE:
                for number in (1, 2):
                    self.fleet.processes[number].kill()
                    self.fleet.processes[number].wait()
                    dark.append(
                        DarkMachine(
                            self.fleet.ips[number], self.fleet.ports.values()
                        )
                    )
                    self.note(f'machine {number} loses power for good')
            await asyncio.sleep(CONTACT_S + 3.5)
            return await self.ask()
        finally:
            for one in dark:
                one.close()
            self.fleet.stop()
            await worker.stop()
            await self.store.stop()

    async def ask(self):
        ip, port = self.fleet.ips[0], self.fleet.ports['directory']
        query = f'/resolve?name={HOST}&region=sul&zone=joinville'
        gone = [
            f'{self.fleet.ips[number]}:{self.fleet.ports["frontend"]}'
            for number, process in self.fleet.processes.items()
            if process.poll() is not None
        ]
        running = f'{ip}:{self.fleet.ports["frontend"]}'
        wrong = served = 0
        self.note(f'asked each second: GET {query}')
        until = now() + ASKED_FOR_S
        while now() < until:
            reply = await call(ip, port, 'GET', query, {})
            served += reply.status == 200
            addresses = []
            with contextlib.suppress(ValueError):
                addresses = json.loads(reply.body)['addresses']
            named = [one for one in addresses if one in gone]
            is_wrong = bool(named) and running in addresses
            wrong += is_wrong
            self.note(
                f'{reply.status}: {len(addresses)} addresses, '
                f'{len(named)} of them of machines that are gone'
                f'{"  WRONG" if is_wrong else ""}'
            )
            await asyncio.sleep(INTERVAL_S)
        self.note(f'{wrong} answers named machines that are gone')
        if not served:
            raise RuntimeError('no answer')
        return 1 if wrong > ALLOWED else 0


def main():
    case = Case()
    try:
        code = asyncio.run(case.run())
    except Exception as error:  # noqa: BLE001
        case.note(f'could not run: {error!r}')
        code = 2
    (HERE / 'record.txt').write_text('\n'.join([*case.lines, '']))
    return code


if __name__ == '__main__':
    sys.exit(main())

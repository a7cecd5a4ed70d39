"""Stand-ins and helpers of the review's scripts: processes, servers, clients.

The store is the project's own (``tests.lib.object_store``). The backend server
and the clients are those below; they speak HTTP/1.1 as the users' pages say.
"""

import asyncio
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = 'shop.example'
KEY = 'key-of-joinville'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{host}"
zone = "joinville"
region = "sul"
portRange = [{peer},{tunnel}]
seeds = []
bootstrap = {first}
[zones]
joinville = "sul"
[listen]
frontend = "{host}:{caller}"
readiness = "{host}:{readiness}"
directory = "{host}:{entry}"
[limits]
cpuQuota = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoverS = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""
LISTENERS = ('peer', 'caller', 'readiness', 'entry', 'tunnel')


class CannotRunError(Exception):
    """The case could not be played."""


def find_ports(host, count):
    """Find ports of a loopback address that nobody uses, in rising order."""
    held = [socket.socket() for _ in range(count)]
    try:
        for one in held:
            one.bind((host, 0))
        return sorted(one.getsockname()[1] for one in held)
    finally:
        for one in held:
            one.close()


class Record:
    """The file ``record.txt`` of a case, a line an event."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._began = time.monotonic()

    def write(self, text):
        took = time.monotonic() - self._began
        self._file.write(f'{took:8.3f} {text}\n')
        self._file.flush()


class Fleet:
    """A store and routers, each router a process of the deploy file."""

    def __init__(self, record, routers, memory_mb=300):
        self.record = record
        self.memory_mb = memory_mb
        self.folder = tempfile.TemporaryDirectory()
        base = 10 + os.getpid() % 200
        self.hosts = [f'127.{base}.7.{1 + n}' for n in range(routers)]
        self.ports = dict(
            zip(LISTENERS, find_ports(self.hosts[0], 5), strict=True)
        )
        self.store_port = find_ports('127.0.0.1', 1)[0]
        self.store_address = f'127.0.0.1:{self.store_port}'
        self.processes = {}
        self.killed = []

    def _start(self, name, words, **variables):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(variables)
        log = open(Path(self.folder.name) / f'{name}.log', 'ab')
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def start_store(self, objects):
        """Start the project's stand-in of the platform's store."""
        words = [
            sys.executable,
            '-m',
            'tests.lib.object_store',
            '--port',
            str(self.store_port),
            '--put',
            json.dumps(objects),
        ]
        self._start('store', words, PYTHONPATH=f'{ROOT}/target/deps:{ROOT}')
        self._wait(lambda: self.control() is not None, 'the store')

    def control(self, **fields):
        """Set faults of the store; returns what it holds."""
        request = urllib.request.Request(
            f'http://127.0.0.1:{self.store_port}/control',
            json.dumps(fields).encode(),
            {'Content-Type': 'application/json'},
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return json.load(answer)
        except OSError:
            return None

    def write_configuration(self, configuration):
        """Write a configuration, as the operator does."""
        url = f'http://127.0.0.1:{self.store_port}/objects/config/main'
        body = {'metadata': {'name': 'main'}, 'spec': configuration}
        request = urllib.request.Request(
            url,
            json.dumps(body).encode(),
            {'Content-Type': 'application/json'},
            method='PUT',
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status

    def start_router(self, number, first='true'):
        """Start a router by the command of the deploy file."""
        name = f'edge-joinville-{1 + number}'
        path = Path(self.folder.name) / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                host=self.hosts[number],
                store=self.store_address,
                first=first,
                memory_mb=self.memory_mb,
                **self.ports,
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._start(
            name,
            deploy['roles']['router']['run'].split(),
            PYTHONPATH=str(ROOT / 'target/deps'),
            DYKEMAST_SETTINGS=str(path),
        )
        self.record.write(f'{name} starts')
        return name

    def wait_ready(self, number):
        url = f'http://{self.hosts[number]}:{self.ports["readiness"]}/readyz'

        def is_ready():
            try:
                with urllib.request.urlopen(url, timeout=2) as answer:
                    return answer.status == 200
            except OSError:
                return False

        self._wait(is_ready, f'router {number}')

    def _wait(self, is_done, what):
        until = time.monotonic() + 20
        while not is_done():
            if time.monotonic() > until:
                raise CannotRunError(f'{what} did not come up')
            time.sleep(0.1)

    def read_log(self, name):
        return (Path(self.folder.name) / f'{name}.log').read_text()

    def measure_memory(self, name):
        """Resident memory of a process in MB (2^20 bytes)."""
        pid = self.processes[name].pid
        try:
            text = Path(f'/proc/{pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found.group(1)) / 1024 if found else 0

    async def enforce_memory(self, peaks):
        """Kill routers over ``memoryMb``, as the platform does."""
        while True:
            for name, process in self.processes.items():
                if not name.startswith('edge') or process.poll() is not None:
                    continue
                used = self.measure_memory(name)
                peaks[name] = max(peaks.get(name, 0), used)
                if used > self.memory_mb:
                    process.kill()
                    self.killed.append(name)
                    self.record.write(
                        f'{name} uses {used:.0f} MB of {self.memory_mb}: '
                        'the platform kills it'
                    )
            await asyncio.sleep(0.02)

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


def make_route(prefix, kind, service, **fields):
    return {
        'name': 'r' + prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': 4000,
        'sloMs': 400,
        'priority': 1,
        'service': service,
        'attempts': 1,
        'public': False,
        **fields,
    }


def make_configuration(routes, prepaid=10_000_000, body_bytes=4_194_304):
    """A configuration; bodies may have as many bytes as on the users' sites."""
    return {
        'version': 7,
        'routes': routes,
        'services': [
            {
                'name': 'assistente',
                'healthPath': '/healthz',
                'maxConns': 360,
                'engine': {'slots': 64, 'kvCapacity': 562_615, 'stride': 1},
            },
            {'name': 'balcao', 'healthPath': '/healthz', 'maxConns': 300},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': body_bytes,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'joinville',
                'apiKeys': [KEY],
                'priority': 1,
                'prepaid': prepaid,
            }
        ],
    }


def make_entry(name, service, port, **fields):
    """The entry of a server in the store."""
    spec = {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': 'joinville',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': 1,
        **fields,
    }
    return ['servers', name, spec]


async def read_head(reader):
    """Read the head of a message: first line, and fields in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return first, fields


class Server:
    """A sound backend server; ``answer`` decides what a run gives."""

    def __init__(self, name, record, work_s):
        self.name = name
        self.record = record
        #: Seconds that a run takes, by the beginning of its path; and from
        #: one event of a stream to the next.
        self.work_s = work_s
        self.event_s = 0.005
        #: Attempt ids of the requests that began to run, in order.
        self.runs = []
        #: Tokens that each tenant got: those of prompts, and those handed out.
        self.tokens = {}
        #: The same by attempt id.
        self.by_attempt = {}

    async def listen(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        first, fields = await read_head(reader)
        attempt = fields.get('x-attempt-id', '')
        if '/healthz' in first:
            writer.write(
                b'HTTP/1.1 200 OK\r\nX-Instance-Id: %b\r\n'
                b'Content-Length: 0\r\n\r\n' % self.name.encode()
            )
            return
        left = int(fields.get('content-length', 0))
        while left:
            left -= len(await reader.readexactly(min(left, 65536)))
        if fields.get('x-expect-instance', self.name) != self.name:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %b\r\n'
                b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
                % attempt.encode()
            )
            return
        self.runs.append(attempt)
        self.record.write(f'{self.name} runs {attempt}')
        path = first.split()[1]
        if path.startswith('/stream/'):
            await self._stream(fields, writer)
            return
        await asyncio.sleep(
            next(s for begin, s in self.work_s.items() if path.startswith(begin))
        )
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n'
            b'X-Response-Seal: seal.%b\r\nContent-Length: 4\r\n\r\ndone'
            % (attempt.encode(), self.name.encode())
        )
        await writer.drain()


    async def _stream(self, fields, writer):
        """Hand out all tokens that the request declares, one an event."""
        attempt, tenant = fields['x-attempt-id'], fields.get('x-tenant', '')
        prompt, _, output = fields['x-token-usage'].partition(',')
        got = self.tokens.get(tenant, 0)
        self.tokens[tenant] = got + int(prompt)
        self.by_attempt[attempt] = int(prompt)
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n'
            b'X-Response-Seal: seal.%b\r\nX-Weight-Versions: 1\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            % (attempt.encode(), self.name.encode())
        )
        for number in range(1, int(output) + 1):
            await asyncio.sleep(self.event_s)
            event = b'id: %d\ndata: t\n\n' % number
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            self.tokens[tenant] += 1
            self.by_attempt[attempt] += 1
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def make_request(
    path, attempt, body=b'', method='POST', deadline_ms=4000, key=KEY, **more
):
    """Write the head and body of a client's request."""
    fields = {
        'Host': HOST,
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Token {key}',
        'Content-Length': str(len(body)),
        **{name.replace('_', '-'): text for name, text in more.items()},
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body


async def read_answer(reader):
    """Read a whole answer: its status, fields and body."""
    first, fields = await read_head(reader)
    if fields.get('transfer-encoding') == 'chunked':
        body = b''
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return int(first.split()[1]), fields, body
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return int(first.split()[1]), fields, body

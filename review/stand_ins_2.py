"""Stand-ins of the second review: platform store, workers and clients.

They follow PROTOCOL.md and use the standard library only. A case starts the
routers with the commands of ``deploy/system.toml``, as separate processes on
loopback addresses, and runs the stand-ins on its own event loop.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = 'shop.example'
ZONE = 'joinville'
LINE = 65536


def now():
    return time.monotonic()


# --- HTTP/1.1 -------------------------------------------------------------


class Head:
    """Start line and header fields of a message."""

    def __init__(self, text):
        lines = text.decode('latin-1').split('\r\n')
        self.words = lines[0].split(' ', 2)
        self.fields = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(':')
            self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=''):
        return self.fields.get(name, default)


async def read_head(reader):
    return Head(await reader.readuntil(b'\r\n\r\n'))


async def read_body(reader, head):
    """Read a body that has a length or comes in chunks."""
    if 'chunked' in head.get('transfer-encoding'):
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(head.get('content-length') or 0))


def make_answer(status, fields, body):
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class HttpServer:
    """Serves one request after the other on each connection."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self._server = None
        self._open = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=LINE
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self.answer(head, body, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def answer(self, head, body, writer):
        raise NotImplementedError


# --- Platform -------------------------------------------------------------


class Store(HttpServer):
    """The platform's store. Nothing that it acknowledged is lost."""

    def __init__(self, host='127.0.0.1'):
        super().__init__(host)
        self.kinds = {}
        self.events = []
        self.revision = 0
        self.changed = asyncio.Condition()
        #: Ports at which the store turns machines away (503, nothing is done).
        self.turned_away = set()
        self._doors = []

    async def open_door(self):
        """Listen on a further port, for one machine."""
        door = await asyncio.start_server(
            self._serve, self.host, 0, limit=LINE
        )
        self._doors.append(door)
        return door.sockets[0].getsockname()[1]

    async def stop(self):
        for door in self._doors:
            door.close()
        await super().stop()

    async def put(self, kind, name, spec):
        self.revision += 1
        made = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'createdRev': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.kinds.setdefault(kind, {})[name] = made
        await self._tell(kind, made, removed=False)
        return made

    async def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone:
            self.revision += 1
            await self._tell(kind, gone, removed=True)
        return gone

    async def _tell(self, kind, made, *, removed):
        self.events.append((self.revision, kind, removed, made))
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, head, body, writer):
        door = writer.get_extra_info('sockname')[1]
        status, made = 503, {}
        if door not in self.turned_away:
            status, made = await self._do(head, body)
        if door in self.turned_away and head.words[0] == 'GET':
            # A watch that waited is cut.
            status, made = 503, {}
        fields = {'Content-Type': 'application/json'}
        writer.write(make_answer(status, fields, json.dumps(made).encode()))

    async def _do(self, head, body):
        method, target, _ = head.words
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *rest = url.path.split('/')
        objects = self.kinds.setdefault(kind, {})
        sent = json.loads(body) if body else {}
        if method == 'GET' and not rest:
            if 'watch' in query:
                return 200, await self._watch(kind, query)
            return 200, self._list(objects, query)
        name = rest[0] if rest else sent['metadata']['name']
        found = objects.get(name)
        if method == 'GET':
            return (200, found) if found else (404, {})
        if method == 'POST':
            if found:
                return 409, found
            return 201, await self.put(kind, name, sent['spec'])
        wanted = sent.get('metadata', {}).get('revision')
        if found is None:
            return 404, {}
        if wanted not in (None, found['metadata']['revision']):
            return 409, found
        if method == 'DELETE':
            return 200, await self.remove(kind, name)
        if found['spec'] == sent['spec']:
            return 200, found
        return 200, await self.put(kind, name, sent['spec'])

    def _list(self, objects, query):
        after = query.get('afterRevision', '')
        names = sorted(name for name in objects if name > after)
        return {
            'items': [objects[name] for name in names[:500]],
            'morePages': len(names) > 500,
            'storeRevision': self.revision,
        }

    async def _watch(self, kind, query):
        since, wait = int(query['watch']), int(query['waitMs']) / 1000

        def find():
            return [
                {'removed': removed, 'object': made}
                for revision, of_kind, removed, made in self.events
                if of_kind == kind and revision > since
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(lambda: bool(find()))
        return {'events': find(), 'storeRevision': self.revision}


# --- Workers --------------------------------------------------------------


class Worker(HttpServer):
    """A worker of one service; keeps itself in the store."""

    def __init__(self, store, service, ident, host='127.0.0.1', slots=6):
        super().__init__(host)
        self.store, self.service, self.ident = store, service, ident
        self.slots = slots
        self.sequence = 0
        self.runs = []
        self._beat = None

    async def start(self):
        await super().start()
        await self._write()
        self._beat = asyncio.create_task(self._keep())
        return self

    async def _keep(self):
        while True:
            await asyncio.sleep(1.2)
            await self._write()

    async def _write(self):
        self.sequence += 1
        await self.store.put(
            'servers',
            self.ident,
            {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': ZONE,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'coldLeftMs': 0,
                'sequence': self.sequence,
            },
        )

    async def answer(self, head, body, writer):
        method, target, _ = head.words
        if target == '/healthz':
            fields = {'X-Instance-Id': self.ident}
            writer.write(make_answer(200, fields, b''))
            return
        fields = {'X-Attempt-Id': head.get('x-attempt-id')}
        if head.get('x-expect-instance', self.ident) != self.ident:
            fields['X-Not-Executed'] = '1'
            writer.write(make_answer(421, fields, b''))
            return
        self.runs.append((head.get('x-attempt-id'), now(), method, target))
        fields['X-Response-Seal'] = f'seal.{self.ident}.{len(self.runs)}'
        await self.run(head, fields, writer)

    async def run(self, head, fields, writer):
        writer.write(make_answer(200, fields, b'done'))


# --- Configuration and routers --------------------------------------------


def make_route(prefix, service, kind, **fields):
    return {
        'name': f'r-{prefix.strip("/")}',
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


def make_config(version, routes, services, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge", "registry"]
ip = "{ip}"
zone = "joinville"
region = "sul"
portRange = [{low},{high}]
seeds = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
[zones]
joinville = "sul"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
directory = "{ip}:{directory}"
[limits]
cpuQuota = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
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
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""


def read_run_command():
    """Read how the deploy file starts a router."""
    with open(ROOT / 'deploy' / 'system.toml', 'rb') as source:
        words = tomllib.load(source)['roles']['router']['run'].split()
    return [sys.executable, *words[1:]] if words[0] == 'python3' else words


class Fleet:
    """Routers, each a process with a loopback address of its own."""

    def __init__(self, store_ports):
        count = len(store_ports)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store_ports = store_ports
        second = random.randrange(16, 250)
        third = random.randrange(16, 250)
        self.ips = [f'127.{second}.{third}.{n + 1}' for n in range(count)]
        self.names = [f'edge-joinville-{n + 1}' for n in range(count)]
        self.ports = dict(
            zip(
                ('frontend', 'readiness', 'directory', 'low', 'high'),
                _find_ports(self.ips[0], 5),
                strict=True,
            )
        )
        self.processes = {}

    def start(self, number, *, bootstrap):
        path = self.folder / f'{number}.toml'
        path.write_text(
            SETTINGS.format(
                name=self.names[number],
                ip=self.ips[number],
                bootstrap=str(bootstrap).lower(),
                store=f'127.0.0.1:{self.store_ports[number]}',
                **self.ports,
            )
        )
        environment = {
            **{
                name: os.environ[name]
                for name in ('PATH', 'HOME', 'LANG')
                if name in os.environ
            },
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'DYKEMAST_SETTINGS': str(path),
        }
        with open(self.folder / f'{number}.log', 'ab') as log:
            self.processes[number] = subprocess.Popen(
                read_run_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        return self.processes[number]

    async def wait_ready(self, number, limit_s=20):
        until = now() + limit_s
        while now() < until:
            if self.processes[number].poll() is not None:
                break
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                got = await call(
                    self.ips[number],
                    self.ports['readiness'],
                    'GET',
                    '/readyz',
                    {},
                )
                if got.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'router {number} is not ready')

    def read_log(self, number):
        return (self.folder / f'{number}.log').read_text(errors='replace')

    def read_events(self, number):
        found = []
        for line in self.read_log(number).splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _find_ports(ip, count):
    """Find free ports, apart from the one of the metrics."""
    opened = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        opened.append(sock)
    ports = sorted(sock.getsockname()[1] for sock in opened)
    for sock in opened:
        sock.close()
    return ports


# --- Machines without power ---------------------------------------------


class DarkMachine:
    """The address of a machine without power: it answers no connection."""

    def __init__(self, ip, ports):
        self._sockets = []
        for port in ports:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((ip, port))
            listener.listen(0)
            self._sockets.append(listener)
            # The queue is full from now on, so that packets are dropped.
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect((ip, port))
                self._sockets.append(filler)

    def close(self):
        for one in self._sockets:
            one.close()


# --- Clients --------------------------------------------------------------


class Reply:
    """What a client saw of the answer to one attempt."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b''
        self.whole = False
        self.error = ''


async def call(ip, port, method, path, fields, body=b'', timeout_s=2):
    """Make one small call over a new connection."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        with contextlib.closing(writer):
            head = {'Host': HOST, **fields, 'Content-Length': len(body)}
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in head.items()]
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            reply = Reply()
            reply.head = await read_head(reader)
            reply.status = int(reply.head.words[1])
            reply.body = await read_body(reader, reply.head)
            reply.whole = True
            return reply

"""A small deployment on loopback addresses: the project's processes with the settings of the deploy
templates, and stand-ins for the operator, the clients, the engines and the platform.

Only the standard library is used. Nothing outside a temporary folder and the case's record is written.
"""

import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "emberturn")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought to the point where the rule is checked."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


def fill(template, fields):
    """Fills a template's gaps as DEPLOY.md describes them, as far as the templates use them."""

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(plain(it) for it in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def look(name):
        value = fields
        for step in name.split("."):
            if isinstance(value, list):
                value = value[int(step)]
            else:
                value = (value or {}).get(step)
        return value

    def repeat(match):
        entries = look(match.group(1)) or {}
        return "".join(
            match.group(2).replace("{{@}}", key).replace("{{.}}", plain(value))
            for key, value in entries.items()
        )

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", repeat, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: plain(look(match.group(1))), text)


def read_head(stream):
    """The first line and the headers (names in lower case) of a message; None at the end."""
    line = stream.readline(65536)
    if not line:
        return None
    headers = {}
    while True:
        field = stream.readline(65536)
        if not field:
            return None
        field = field.rstrip(b"\r\n")
        if not field:
            break
        name, _, value = field.partition(b":")
        headers[name.decode("latin-1").strip().lower()] = value.decode("latin-1").strip()
    return line.decode("latin-1").strip(), headers


def read_body(stream, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = stream.readline(65536)
            if not line:
                raise ConnectionError("cut inside the body")
            size = int(line.split(b";")[0], 16)
            piece = stream.read(size + 2)
            if len(piece) < size + 2:
                raise ConnectionError("cut inside the body")
            if size == 0:
                return body
            body += piece[:-2]
    if "content-length" in headers:
        size = int(headers["content-length"])
        body = stream.read(size) if size else b""
        if len(body) < size:
            raise ConnectionError("cut inside the body")
        return body
    return stream.read() if to_end else b""


class Server:
    """A stand-in that serves HTTP/1.1. `handle(server, connection, line, headers, body)` answers a request."""

    def __init__(self, ip, handle, port=0):
        self.handle = handle
        self.connections = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(256)
        self.addr = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def close(self):
        """Ends at once: nobody listens any more, and all connections are reset."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            reset(connection)

    def serve(self, connection):
        stream = connection.makefile("rb")
        self.connections.add(connection)
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                body = read_body(stream, head[1])
                if self.handle(self, connection, head[0], head[1], body) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Wakes whoever reads; the descriptor itself is closed, as a file made of the socket would keep it open.
        connection.shutdown(socket.SHUT_RD)
        os.close(connection.detach())
    except OSError:
        pass


def send_answer(connection, status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def __str__(self):
        return f"{self.status} {self.body[:160]!r}"


def call(addr, method, path, headers=None, body=b"", wait=5.0):
    """One request on a connection of its own; None when there is no whole answer in time."""
    ip, _, port = addr.rpartition(":")
    try:
        with socket.create_connection((ip, int(port)), timeout=wait) as connection:
            connection.settimeout(wait)
            fields = {"Host": "app.example", "Connection": "close", **(headers or {})}
            if body or method != "GET":
                fields["Content-Length"] = len(body)
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            stream = connection.makefile("rb")
            head = read_head(stream)
            if head is None:
                return None
            status = int(head[0].split()[1])
            return Answer(status, head[1], read_body(stream, head[1], to_end=True))
    except (OSError, ValueError):
        return None


class Doors:
    """The proxies of doors.py, which can cut machines from each other."""

    def __init__(self, system):
        self.system = system
        self.sides = set()
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "doors.py")
        self.process = subprocess.Popen(
            [sys.executable, "-B", program], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def tell(self, *words):
        self.process.stdin.write(" ".join(str(word) for word in words) + "\n")
        self.process.stdin.flush()
        if not self.process.stdout.readline():
            raise CannotRun("the proxies have ended")

    def open(self, place):
        self.tell("door", place, self.system.ip(place), self.system.inner_ip(place), self.system.ports["peer"])

    def cut(self, places):
        """Cuts these machines from all others."""
        self.sides = set(places)
        self.tell("cut", ",".join(str(place) for place in sorted(places)))
        self.system.record(f"cut: {sorted(places)} from all other machines of the system")

    def heal(self):
        self.sides = set()
        self.tell("heal")
        self.system.record("the cut heals")


class System:
    """Five core machines, three of them seeds, and some front machines."""

    def __init__(self, record, bounds=None, doors=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="emberturn-review-")
        self.subnet = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 200 + 20}"
        self.ports = {}
        held = []
        for name in ("peer", "metrics", "front", "ready", "control"):
            probe = socket.socket()
            probe.bind((self.ip(250), 0))
            self.ports[name] = probe.getsockname()[1]
            held.append(probe)
        for probe in held:
            probe.close()
        self.processes = {}
        self.first_start = True
        self.instances = []
        self.platform_calls = []
        self.ran = []
        self.lock = threading.Lock()
        self.platform = Server(self.ip(251), self.serve_platform)
        self.bounds = {
            "config_apply_ms": 2000, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_min_retries": 56,
            "budget_window_s": 10, "grace_s": 8, "usage_window_s": 5, "usage_late_s": 10, "lease_ms": 3000,
            "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000, "ack_timeout_ms": 4000,
            **(bounds or {}),
        }
        self.doors = Doors(self) if doors else None
        record("subnet " + self.subnet + ".x")

    def ip(self, place):
        return f"{self.subnet}.{place}"

    def inner_ip(self, place):
        """Where a process listens for others when a proxy stands before it."""
        return f"{self.subnet}.{place + 100}"

    def at(self, place, side):
        return f"{self.ip(place)}:{self.ports[side]}"

    def launch(self, place, role):
        folder = os.path.join(self.folder, str(place))
        os.makedirs(folder, exist_ok=True)
        fields = {
            "ip": self.ip(place), "zone": "zone-a", "zones": {"zone-a": "region-a"},
            "data_dir": os.path.join(folder, "data"),
            "seeds": [self.at(seed, "control") for seed in (1, 2, 3)],
            "first_start": self.first_start, "fault_tolerance": {"machines": 2},
            "internal_port_range": [self.ports["peer"], self.ports["metrics"]],
            "listen_addresses": {name: self.at(place, name) for name in ("front", "ready", "control")},
            "cloud_api": {"address": self.platform.addr}, "bounds": self.bounds,
            "limits": {"memory_mb": 260, "file_descriptors": 4100},
        }
        with open(os.path.join(ROOT, "deploy", role + ".ini"), encoding="utf-8") as file:
            text = fill(file.read(), fields)
        if self.doors is not None:
            outer, inner = (f"listen = {it}:{self.ports['peer']}" for it in (self.ip(place), self.inner_ip(place)))
            text = text.replace(outer, inner)
            if place not in self.processes:
                self.doors.open(place)
        settings = os.path.join(folder, "settings.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(folder, "log.txt"), "ab")
        self.processes[place] = subprocess.Popen(
            [PROGRAM, "node", settings], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT
        )
        if self.doors is not None:
            self.doors.tell("pid", place, self.processes[place].pid)
        self.record(f"start {role} {place} ({self.ip(place)})")

    def start(self, relays):
        for place in range(1, 6):
            self.launch(place, "replica")
        for place in range(11, 11 + relays):
            self.launch(place, "relay")
        self.first_start = False

    def signal(self, place, name):
        self.record(f"SIG{name} to {place}")
        self.processes[place].send_signal(getattr(signal, "SIG" + name))

    def kill(self, place):
        self.signal(place, "KILL")
        self.processes[place].wait()

    def log(self, place):
        with open(os.path.join(self.folder, str(place), "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        if self.doors is not None:
            self.doors.process.kill()
            self.doors.process.wait()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            self.record("logs kept in " + self.folder)
            print("logs kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def status(self, place):
        """What `emberturn status` shows of a process."""
        shown = subprocess.run(
            [PROGRAM, "status", "--json", "--node", self.at(place, "peer")], capture_output=True, text=True, timeout=10
        )
        try:
            value = json.loads(shown.stdout)
        except ValueError:
            return {}
        return (value[0] if isinstance(value, list) else value) or {}

    def leader(self, wait=20.0):
        until = time.monotonic() + wait
        while time.monotonic() < until:
            for place in range(1, 6):
                if self.processes[place].poll() is None:
                    group = self.status(place).get("group") or {}
                    if group.get("role") == "leader":
                        return place
            time.sleep(0.1)
        raise CannotRun("no replica leads")

    def publish(self, document, places=(1, 2, 3, 4, 5), wait=30.0):
        """Sends a configuration until it is acknowledged; when that was."""
        body = json.dumps(document).encode()
        until = time.monotonic() + wait
        while time.monotonic() < until:
            for place in places:
                answer = call(self.at(place, "control"), "PUT", "/config", {"Content-Type": "application/json"}, body, 4.0)
                if answer is not None and answer.status == 200:
                    at = time.monotonic()
                    self.record(f"version {document['version']} acknowledged by {place}")
                    return at
                time.sleep(0.05)
        raise CannotRun(f"version {document['version']} was not acknowledged")

    def ask(self, place, number, key="key-a", route="/unsafe/", method="POST", deadline=1500, wait=None, extra=None):
        """One client attempt; the record has what was sent and answered."""
        headers = {"Request-Id": number, "Deadline-Ms": deadline, "Api-Key": key, **(extra or {})}
        self.record(f"client sends {number} {method} {route}x with {key} to {place}")
        answer = call(self.at(place, "front"), method, route + "x", headers, b"", wait or deadline / 1000 + 0.5)
        self.record(f"client has for {number}: {answer}")
        return answer

    def until(self, what, look, wait=30.0):
        end = time.monotonic() + wait
        while time.monotonic() < end:
            found = look()
            if found:
                return found
            time.sleep(0.05)
        raise CannotRun("not in time: " + what)

    def serve_platform(self, server, connection, line, headers, body):
        method, path, _ = line.split(" ", 2)
        if method == "GET" and path.startswith("/instances"):
            with self.lock:
                page = {"instances": list(self.instances), "next_page_token": None}
            send_answer(connection, 200, {"Content-Type": "application/json"}, json.dumps(page).encode())
            return True
        with self.lock:
            self.platform_calls.append((time.monotonic(), path, headers.get("fencing-token"), headers.get("duty-holder"), body))
        send_answer(connection, 200, {"Content-Type": "application/json"}, b"{}")
        return True

    def list_engine(self, server, name, service):
        with self.lock:
            self.instances.append({
                "id": name, "service": service, "address": server.addr, "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            })

    def plain_engine(self, place, name, service):
        """A sound server of a service that is no model; it notes what it runs."""

        def handle(server, connection, line, headers, body):
            expected = headers.get("expect-instance")
            number = headers.get("request-id")
            if line.startswith("GET /health"):
                send_answer(connection, 200, {"Instance-Id": name})
                return True
            if expected not in (None, name):
                send_answer(connection, 421, {"Request-Id": number or "", "Not-Executed": "1"})
                return True
            with self.lock:
                self.ran.append((time.monotonic(), number, name, headers))
            self.record(f"engine {name} runs {number} for tenant {headers.get('tenant')}")
            send_answer(connection, 200, {"Request-Id": number or "", "Response-Signature": f"s.{number}"}, b"done " + (number or "").encode())
            return True

        server = Server(self.ip(place), handle)
        self.list_engine(server, name, service)
        return server


def document(version, keys, routes=None):
    """A configuration with one plain service and one tenant that holds `keys`."""
    kinds = routes or [("unsafe", 1), ("safe", 2)]
    return {
        "version": version,
        "routes": [
            {
                "name": "r-" + kind, "host": "app.example", "path_prefix": f"/{kind}/", "kind": kind, "timeout_ms": 1500,
                "target_latency_ms": 300, "priority": 0, "service": "svc", "max_attempts": attempts, "public": False,
                "sticky": False, "resumable": False,
            }
            for kind, attempts in kinds
        ],
        "services": [{"name": "svc", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "tenant-a", "api_keys": keys, "priority": 0, "unit": "requests", "plain_tokens": 1, "rate_per_s": 0, "burst": 0},
        ],
    }


def run_case(folder, case, **options):
    """Runs `case(system, record)`, which returns whether the rule held; gives the exit code."""
    # A script that is ended from outside still ends what it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    system = None
    try:
        system = System(record, **options)
        held = case(system, record)
        record("the rule held" if held else "THE RULE WAS BROKEN")
        return 0 if held else 1
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        record(f"the case could not run: {error}")
        return 2
    finally:
        if system is not None:
            system.stop()

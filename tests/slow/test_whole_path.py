"""Packets through real processes, from the caller to the target and back.

Guards against entry and control hosts that work alone but not together: a patch
that does not reach the data path, or a reply that another host can't return.
"""

import pathlib
import socket
import tempfile

import dpkt
import testtools

from tamarack_core.packets import geneve
from tests import processes

SERVICE = {
    "addresses": ["10.9.0.1"],
    "target_networks": ["10.1.0.0/24"],
    "classes": {"routes": {"port": 80, "target_port": 8080}},
}
TARGETS = ("10.1.0.1", "10.1.0.2")
RECEIVE_TIMEOUT_S = 10.0


def segment(source, source_port, destination, destination_port, flags, ack=0):
    """Returns a TCP packet without payload."""
    tcp = dpkt.tcp.TCP(
        sport=source_port, dport=destination_port, flags=flags, ack=ack
    )
    packet = dpkt.ip.IP(
        src=socket.inet_aton(source),
        dst=socket.inet_aton(destination),
        p=dpkt.ip.IP_PROTO_TCP,
        data=tcp,
    )
    packet.len = len(packet)
    return bytes(packet)


class WholePathTest(testtools.TestCase):
    """Fabric, two entry hosts, a control host and two targets."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.fabric = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.fabric.close)
        self.fabric.bind(("127.0.0.1", 0))
        self.fabric.settimeout(RECEIVE_TIMEOUT_S)
        names = ("entry-1", "entry-2", "control-1")
        self.peers = [
            {
                "host": name,
                "domain": "a",
                "control": ["127.0.0.1", processes.free_port()],
                "data": None
                if name == "control-1"
                else ["127.0.0.1", processes.free_port()],
            }
            for name in names
        ]
        self.daemons = [self.start_daemon(peer) for peer in self.peers]
        for daemon in self.daemons:
            daemon.wait_started()
        for daemon in self.daemons[:2]:
            processes.wait_until(
                lambda daemon=daemon: processes.call(
                    daemon.port, "GET", "/v1/status"
                )[1]["members"],
                "the entry hosts know each other",
            )

    def start_daemon(self, peer):
        settings = {
            **{key: value for key, value in peer.items() if value},
            "roles": ["entry"] if peer["data"] else ["control"],
            "fabric": list(self.fabric.getsockname()),
            "peers": [other for other in self.peers if other is not peer],
            "data_folder": str(self.folder / peer["host"]),
            "seed": 1,
        }
        daemon = processes.Daemon(self.folder, settings)
        self.addCleanup(daemon.kill)
        return daemon

    def patch(self, patch_id, version, path, value):
        return processes.call(
            self.daemons[2].port,
            "POST",
            "/v1/patches",
            {
                "patch_id": patch_id,
                "base_version": version,
                "operations": [{"op": "add", "path": path, "value": value}],
                "author": "test",
            },
        )

    def wait_version(self, version):
        for daemon in self.daemons:
            processes.wait_until(
                lambda daemon=daemon: (
                    processes.call(daemon.port, "GET", "/v1/status")[1][
                        "version"
                    ]
                    >= version
                ),
                f"version {version} in force",
            )

    def send(self, entry, packet):
        """Sends a packet to an entry host; returns what it forwards."""
        self.fabric.sendto(
            geneve.encapsulate(packet), tuple(self.peers[entry]["data"])
        )
        data = self.fabric.recv(65536)
        return dpkt.ip.IP(geneve.decapsulate(data).packet)

    def announce(self, address):
        body = {"service": "agenda", "domain": "a", "lease_s": 30}
        return processes.call(
            self.daemons[0].port, "PUT", f"/v1/targets/{address}", body
        )

    def test_a_caller_reaches_a_target_and_gets_its_reply(self):
        self.assertEqual(
            200, self.patch("p1", 0, "/services/agenda", SERVICE)[0]
        )
        self.wait_version(1)
        self.assertEqual(
            [200, 200], [self.announce(address)[0] for address in TARGETS]
        )
        processes.wait_until(
            lambda: (
                processes.call(self.daemons[1].port, "GET", "/v1/status")[1][
                    "targets"
                ]
                == len(TARGETS)
            ),
            "targets known at the other entry host",
        )
        opening = segment("10.7.0.1", 5000, "10.9.0.1", 80, dpkt.tcp.TH_SYN)
        forwarded = self.send(0, opening)
        target = socket.inet_ntoa(forwarded.dst)
        self.assertIn(target, TARGETS)
        self.assertEqual(8080, forwarded.data.dport)
        flags = dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK
        # Only a SYN-ACK that acknowledges the SYN belongs to this flow.
        syn_ack = segment(
            target, 8080, "10.7.0.1", 5000, flags, forwarded.data.seq + 1
        )
        reply = self.send(1, syn_ack)
        self.assertEqual("10.9.0.1", socket.inet_ntoa(reply.src))
        self.assertEqual((80, 5000), (reply.data.sport, reply.data.dport))

    def test_a_patch_changes_what_the_entry_hosts_do(self):
        self.patch("p1", 0, "/services/agenda", SERVICE)
        self.wait_version(1)
        self.announce(TARGETS[0])
        path = "/services/agenda/classes/routes/target_port"
        self.assertEqual(
            (409, "conflict"),
            (lambda response: (response[0], response[1]["state"]))(
                self.patch("p2", 0, path, 9090)
            ),
        )
        self.assertEqual(200, self.patch("p3", 1, path, 9090)[0])
        self.wait_version(2)
        opening = segment("10.7.0.1", 5000, "10.9.0.1", 80, dpkt.tcp.TH_SYN)
        self.assertEqual(9090, self.send(0, opening).data.dport)

    def test_a_host_without_the_role_refuses_at_once(self):
        for path in ("/v1/flows", "/v1/targets"):
            status, body = processes.call(self.daemons[2].port, "GET", path)
            self.assertEqual((400, "wrong-role"), (status, body["reason"]))

    def test_a_stop_request_ends_each_process_with_status_zero(self):
        self.assertEqual([0, 0, 0], [daemon.stop() for daemon in self.daemons])

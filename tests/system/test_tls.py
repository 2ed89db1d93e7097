"""Mutual TLS between peers: untrusted peers are rejected, and certificates are renewed without a restart."""

import os
import re
import shutil
import subprocess
import unittest

import harness
from harness import Fleet, wait_until


def openssl(*arguments):
    subprocess.run(["openssl", *arguments], check=True, capture_output=True)


def make_authority(folder, name):
    """Creates a certificate authority and returns the paths of its certificate and key."""
    certificate, key = os.path.join(folder, name + ".pem"), os.path.join(folder, name + ".key")
    openssl("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj", "/CN=" + name,
            "-keyout", key, "-out", certificate)
    return certificate, key


def make_certificate(folder, name, authority):
    """Creates a certificate signed by an authority and returns the paths of certificate and key."""
    certificate, key, request = (os.path.join(folder, name + end) for end in (".pem", ".key", ".csr"))
    openssl("req", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=" + name, "-keyout", key, "-out", request)
    openssl("x509", "-req", "-days", "2", "-in", request, "-CA", authority[0], "-CAkey", authority[1],
            "-CAcreateserial", "-out", certificate)
    return certificate, key


def members_alive(process):
    body = process.call("GET", "/metrics", port="administration").body.decode()
    return int(re.search(r"geraniumquay_members_alive (\d+)", body).group(1))


class TlsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.start_platform()
        self.folder = self.fleet.folder.name
        self.authority = make_authority(self.folder, "authority")

    def security(self, certificate, authority):
        return "[security]\ncertificate_file = %s\nkey_file = %s\nauthority_file = %s\n" % (*certificate, authority[0])

    def start_entry(self, name, authority=None):
        authority = authority or self.authority
        certificate = make_certificate(self.folder, name, authority)
        entry = self.fleet.start_entry(name, extra=self.security(certificate, authority))
        self.fleet.publish_vms()
        return entry

    def test_only_peers_of_the_same_authority_join(self):
        first = self.start_entry("entry-1")
        second = self.start_entry("entry-2")
        wait_until(lambda: members_alive(first) == 2 and members_alive(second) == 2, "both see each other")
        stranger = self.start_entry("stranger", make_authority(self.folder, "other-authority"))
        plain = self.fleet.start_entry("plain")
        self.fleet.publish_vms()
        third = self.start_entry("entry-3")
        wait_until(lambda: members_alive(first) == 3 and members_alive(third) == 3, "the third joins")
        self.assertEqual(members_alive(stranger), 1)
        self.assertEqual(members_alive(plain), 1)

    def test_a_certificate_is_renewed_without_a_restart(self):
        """The first process gets the certificate of a new authority, which only the second one trusts."""
        first = self.start_entry("entry-1")
        renewed = make_authority(self.folder, "renewed-authority")
        certificate, key = make_certificate(self.folder, "entry-1-renewed", renewed)
        for source, name in ((certificate, "entry-1.pem"), (key, "entry-1.key"), (renewed[0], "authority.pem")):
            shutil.copy(source, os.path.join(self.folder, name + ".new"))
        for name in ("entry-1.key", "entry-1.pem", "authority.pem"):
            os.replace(os.path.join(self.folder, name + ".new"), os.path.join(self.folder, name))
        second_certificate = make_certificate(self.folder, "entry-2", renewed)
        second = self.fleet.start_entry("entry-2", extra=self.security(second_certificate, renewed))
        self.fleet.publish_vms()
        wait_until(lambda: members_alive(first) == 2 and members_alive(second) == 2, "the renewed pair meets")


if __name__ == "__main__":
    harness.WAIT_SECONDS = 60.0
    unittest.main()

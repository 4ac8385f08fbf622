"""Mutual TLS between members, and reloading of replaced keys."""

import datetime
import ipaddress
import os
from pathlib import Path
from typing import Any

import anyio
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from mulberryhitch.configuration.settings import TlsSettings
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import HelloReply, HelloRequest
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.tls import TlsContexts
from tests.local_cell import find_free_ports

DAY = datetime.timedelta(days=1)


def make_authority() -> tuple[Any, Any]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'cell')])
    return key, _certificate(key, name, key, name, is_authority=True)


def _certificate(
    key: Any, name: Any, signer: Any, issuer: Any, *, is_authority: bool
) -> Any:
    now = datetime.datetime.now(datetime.UTC)
    address = ipaddress.ip_address('127.0.0.1')
    return (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(x509.BasicConstraints(is_authority, None), True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(address)]), False
        )
        .sign(signer, hashes.SHA256())
    )


def write_member_files(folder: Path, authority: tuple[Any, Any]) -> TlsSettings:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'vm-1')])
    issuer = authority[1].subject
    certificate = _certificate(
        key, name, authority[0], issuer, is_authority=False
    )
    folder.mkdir(exist_ok=True)
    pem = serialization.Encoding.PEM
    (folder / 'certificate.pem').write_bytes(certificate.public_bytes(pem))
    (folder / 'authority.pem').write_bytes(authority[1].public_bytes(pem))
    (folder / 'key.pem').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(
        certificate=str(folder / 'certificate.pem'),
        key=str(folder / 'key.pem'),
        authority=str(folder / 'authority.pem'),
    )


async def reply_to_hello(request: HelloRequest) -> HelloReply:
    return HelloReply('me', False, [], [], 0)


async def _wait_listening(port: int) -> None:
    with anyio.fail_after(30):
        while True:
            try:
                stream = await anyio.connect_tcp('127.0.0.1', port)
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return


async def call_hello(server: TlsContexts, client: TlsContexts) -> Any:
    """Makes one call; the client and the server have their own TLS files."""
    port = find_free_ports(1)
    rpc = RpcServer(Log('vm-1'), server.server)
    rpc.register('hello', reply_to_hello)
    peer = PeerConnection('vm-2', '127.0.0.1', port, client.client)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rpc.serve, '127.0.0.1', port)
        tasks.start_soon(peer.run)
        await _wait_listening(port)
        try:
            return await peer.call('hello', HelloRequest('g', 'x', False), 2)
        finally:
            tasks.cancel_scope.cancel()


def test_members_of_one_authority_can_connect(tmp_path: Path) -> None:
    authority = make_authority()
    one = TlsContexts(write_member_files(tmp_path / 'one', authority))
    two = TlsContexts(write_member_files(tmp_path / 'two', authority))
    assert anyio.run(call_hello, one, two).replica_id == 'me'


def test_a_member_of_another_authority_is_refused(tmp_path: Path) -> None:
    own = TlsContexts(write_member_files(tmp_path / 'ours', make_authority()))
    other = TlsContexts(
        write_member_files(tmp_path / 'other', make_authority())
    )
    for server, client in (
        (own, other),
        (other, own),
        (own, TlsContexts(None)),
    ):
        with pytest.raises(MulberryhitchError):
            _raise_first_error(server, client)


def test_new_keys_are_loaded_without_a_restart(tmp_path: Path) -> None:
    settings = write_member_files(tmp_path / 'one', make_authority())
    contexts = TlsContexts(settings)
    old_context = contexts.server()
    assert contexts.server() is old_context
    authority = make_authority()
    write_member_files(tmp_path / 'one', authority)
    for path in (settings.certificate, settings.key, settings.authority):
        new_mtime_ns = os.stat(path).st_mtime_ns + 1_000_000
        os.utime(path, ns=(new_mtime_ns, new_mtime_ns))
    other = TlsContexts(write_member_files(tmp_path / 'two', authority))
    assert contexts.server() is not old_context
    assert anyio.run(call_hello, contexts, other).replica_id == 'me'


def _raise_first_error(server: TlsContexts, client: TlsContexts) -> None:
    try:
        anyio.run(call_hello, server, client)
    except BaseExceptionGroup as group:
        raise group.exceptions[0] from group

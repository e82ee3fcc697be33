import asyncio
import contextlib
import zlib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import aiohttp.web
import capnp
import pytest

import oriolegauge.wire
from oriolegauge.wire import Envelope, Sender, decode, encode
from oriolegauge.wire.messages import (
    NEVER_MS,
    Ack,
    ConfigVersion,
    Heartbeat,
    LoadReport,
    LoadTable,
    ServerInFlight,
    ServerLoadDetail,
    StreamStart,
    StreamStartQuery,
    StreamStarts,
    VersionShare,
)

from .peers import Peer, open_link, running_server

STREAMS = 'oriolegauge.streams'
PERMITS = 'oriolegauge.permits'
# The lines of the schema that builds without STREAMS, or without details of
# loads, do not have.
LATER_LINES = (
    'versionPeriod @17',
    'versionShares @18',
    'laterVersions @19',
    'watchSigns @20',
    'lostServices @21',
    'relayPort @22',
    'brittleServices @23',
    'readAgesMs @24',
    'streamStarts @42',
    'streamStartQuery @43',
    'loadDetails @5',
    'wantsPartsOnly @6',
    'loadDetails @2',
)
SCHEMA_ID = '@0xd3a1c6f07b52e948'
OLDER_SCHEMA_ID = '@0xd3a1c6f07b52e949'
# The build before the documents of later keys.
PREVIOUS_LINES = (
    'laterVersions @19',
    'watchSigns @20',
    'lostServices @21',
    'relayPort @22',
    'brittleServices @23',
    'readAgesMs @24',
)
PREVIOUS_SCHEMA_ID = '@0xd3a1c6f07b52e94a'
# One word, of 8 bytes, for each of the eight new fields of a heartbeat.
NEW_FIELDS_BYTES = 64
# All words are zero, and deflate stores them in next to nothing.
DEFLATED_FIELDS_BYTES = 4

SHARES = (
    VersionShare(7, 'chat', 'v1', 90, NEVER_MS),
    VersionShare(7, 'chat', 'v2', 10, NEVER_MS),
    VersionShare(6, 'chat', 'v1', 100, 1500),
)
STARTS = (
    StreamStart('attempt-1', 'chat', 'v1', 250),
    StreamStart('attempt-2', 'chat', 'v2', 0),
)


@pytest.fixture(scope='module')
def older_schema(tmp_path_factory):
    """Return the schema without the lines that older builds do not have."""
    folder = tmp_path_factory.mktemp('schema')
    return schema_without(LATER_LINES, OLDER_SCHEMA_ID, folder)


@pytest.fixture(scope='module')
def previous_schema(tmp_path_factory):
    """Return the schema of the previous build."""
    folder = tmp_path_factory.mktemp('schema')
    return schema_without(PREVIOUS_LINES, PREVIOUS_SCHEMA_ID, folder)


def schema_without(later_lines, schema_id, folder):
    schema = Path(oriolegauge.wire.__file__).with_name('messages.capnp')
    lines = schema.read_text().splitlines(keepends=True)
    kept = [
        line for line in lines if not any(text in line for text in later_lines)
    ]
    assert len(lines) - len(kept) == len(later_lines)
    older = folder / 'older.capnp'
    # The library aborts the process if two files have the same id.
    older.write_text(''.join(kept).replace(SCHEMA_ID, schema_id))
    return capnp.load(str(older))


def envelope(message) -> Envelope:
    return Envelope(message_id=3, sender=Sender('d1', 'i1'), message=message)


def heartbeat(**later) -> Heartbeat:
    servers = [f'10.0.0.{number}:9000' for number in range(8)]
    return Heartbeat(
        member='d1',
        incarnation='i1',
        zone='z1',
        state='serving',
        in_flight=tuple(ServerInFlight(name, 3, 900) for name in servers),
        strength=8,
        **later,
    )


def older_bytes(schema, message: Heartbeat) -> bytes:
    """Return the body that an older build sends for a heartbeat."""
    builder = schema.Envelope.new_message(
        messageId=3, sender='d1', incarnation='i1'
    )
    body = builder.init('heartbeat')
    body.member = message.member
    body.incarnation = message.incarnation
    body.zone = message.zone
    body.state = message.state
    body.storeReachedAgeMs = message.store_reached_age_ms
    body.watchesStore = message.watches_store
    body.strength = message.strength
    if message.in_flight:
        columns = body.init('inFlight')
        columns.server = [row.server for row in message.in_flight]
        columns.requests = [row.requests for row in message.in_flight]
        columns.tokens = [row.tokens for row in message.in_flight]
    return builder.to_bytes()


def body_of(payload: bytes) -> bytes:
    if payload[:1] == b'\1':
        return zlib.decompress(payload[1:])
    return payload[1:]


class TestStreamMessages:
    @pytest.mark.parametrize(
        'message',
        [
            StreamStarts(),
            StreamStarts(STARTS[:1]),
            StreamStarts(STARTS),
            StreamStartQuery('attempt-1'),
            StreamStartQuery(''),
        ],
    )
    def test_decoding_restores_reports_and_queries(self, message):
        """Guards against a row or field that the encoding loses."""
        assert decode(encode(envelope(message))).message == message

    @pytest.mark.parametrize(
        'later',
        [
            {},
            {'version_period': 7},
            {'version_period': 7, 'version_shares': SHARES},
            {'version_period': 2**40},
        ],
    )
    def test_decoding_restores_heartbeats_with_versions(self, later):
        """Guards against a share, or NEVER_MS in it, that is lost."""
        message = heartbeat(**later)
        assert decode(encode(envelope(message))).message == message


class TestHeartbeatsOfOlderBuilds:
    def test_older_build_reads_heartbeats_with_versions(self, older_schema):
        """Guards against a link that an older peer closes after a heartbeat."""
        message = heartbeat(version_period=7, version_shares=SHARES)
        body = body_of(encode(envelope(message)))
        with older_schema.Envelope.from_bytes(body) as reader:
            assert str(reader.which()) == 'heartbeat'
            assert reader.sender == 'd1'
            assert reader.heartbeat.member == 'd1'
            assert reader.heartbeat.state == 'serving'
            assert reader.heartbeat.strength == 8
            requests = list(reader.heartbeat.inFlight.requests)
            assert requests == [3] * 8

    def test_previous_build_hears_of_no_later_document(self, previous_schema):
        """Guards against a document for which such a build has no follower."""
        message = heartbeat(later_versions=(ConfigVersion('later', 3, 4),))
        payload = encode(envelope(message))
        assert decode(payload).message == message
        with previous_schema.Envelope.from_bytes(body_of(payload)) as reader:
            assert reader.heartbeat.member == 'd1'
            assert not reader.heartbeat.documentVersions.key
            assert not reader.heartbeat.configVersions.key

    def test_previous_build_reads_heartbeats_with_readings(
        self, previous_schema
    ):
        """Guards against a link that a peer closes during an upgrade."""
        message = heartbeat(read_ages_ms=(250, NEVER_MS))
        payload = encode(envelope(message))
        assert decode(payload).message == message
        with previous_schema.Envelope.from_bytes(body_of(payload)) as reader:
            assert reader.heartbeat.member == 'd1'
        body = older_bytes(previous_schema, heartbeat())
        assert decode(b'\0' + body).message.read_ages_ms == ()

    def test_heartbeat_of_an_older_build_has_no_versions(self, older_schema):
        """Guards against taking an older member for one with periods."""
        body = older_bytes(older_schema, heartbeat())
        message = decode(b'\0' + body).message
        assert message == heartbeat()
        assert message.version_period == 0
        assert message.version_shares == ()

    def test_heartbeat_without_versions_is_hardly_longer(self, older_schema):
        """Guards against control traffic of fleets that use no versions."""
        body = older_bytes(older_schema, heartbeat())
        payload = encode(envelope(heartbeat()))
        assert len(body_of(payload)) - len(body) == NEW_FIELDS_BYTES
        deflated = zlib.compress(body, 1)
        assert len(payload) - 1 - len(deflated) <= DEFLATED_FIELDS_BYTES

    def test_older_build_cannot_read_the_new_messages(self, older_schema):
        """Guards against sending them without asking for the protocol."""
        body = body_of(encode(envelope(StreamStarts(STARTS))))
        with (
            older_schema.Envelope.from_bytes(body) as reader,
            pytest.raises(capnp.KjException),
        ):
            reader.which()


class TestLoadsOfOlderBuilds:
    IN_FLIGHT = (ServerInFlight('e1', 3, 900), ServerInFlight('e2', 1, 0))
    DETAILS = (ServerLoadDetail(2_000, 150, 90), ServerLoadDetail(800, 0, 0))

    @pytest.mark.parametrize(
        'message',
        [
            LoadReport(in_flight=IN_FLIGHT, load_details=DETAILS),
            LoadTable(in_flight=IN_FLIGHT, load_details=DETAILS),
            LoadReport(in_flight=IN_FLIGHT),
        ],
    )
    def test_decoding_restores_details(self, message):
        """Guards against a detail that belongs to another server."""
        assert decode(encode(envelope(message))).message == message

    @pytest.mark.parametrize('name', ['loadReport', 'loadTable'])
    def test_older_build_reads_loads_with_details(self, older_schema, name):
        """Guards against an aggregator that knows only newer daemons."""
        kind = {'loadReport': LoadReport, 'loadTable': LoadTable}[name]
        message = kind(in_flight=self.IN_FLIGHT, load_details=self.DETAILS)
        body = body_of(encode(envelope(message)))
        with older_schema.Envelope.from_bytes(body) as reader:
            assert str(reader.which()) == name
            in_flight = getattr(reader, name).inFlight
            assert list(in_flight.server) == ['e1', 'e2']
            assert list(in_flight.tokens) == [900, 0]

    def test_report_of_an_older_build_has_no_details(self, older_schema):
        """Guards against a report that is refused for a missing column."""
        builder = older_schema.Envelope.new_message(
            messageId=3, sender='d1', incarnation='i1'
        )
        columns = builder.init('loadReport').init('inFlight')
        columns.server = ['e1', 'e2']
        columns.requests = [3, 1]
        columns.tokens = [900, 0]
        message = decode(b'\0' + builder.to_bytes()).message
        assert message == LoadReport(in_flight=self.IN_FLIGHT)


@contextlib.asynccontextmanager
async def older_server(protocols: tuple[str, ...]) -> AsyncIterator[int]:
    """Answer each call with an Ack on a link of an older build."""

    async def handle(request):
        socket = aiohttp.web.WebSocketResponse(protocols=protocols)
        await socket.prepare(request)
        async for frame in socket:
            asked = decode(frame.data).message_id
            answer = Envelope(
                message_id=1,
                sender=Sender('d2', 'i'),
                message=Ack(),
                reply_to=asked,
            )
            await socket.send_bytes(encode(answer))
        return socket

    app = aiohttp.web.Application()
    app.router.add_get('/link', handle)
    runner = aiohttp.web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = aiohttp.web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


class TestLinkProtocols:
    async def test_two_present_builds_agree_on_streams(self):
        """Guards against a fleet that never reports streams."""
        async with (
            running_server(Peer().handle) as port,
            open_link(port) as link,
        ):
            assert link.supports_permits
            assert link.supports_stream_starts
            assert await link.call(StreamStartQuery('a'), 5) == Ack()

    @pytest.mark.parametrize(
        ('protocols', 'permits', 'streams'),
        [
            ((), False, False),
            ((PERMITS,), True, False),
            ((PERMITS, STREAMS), True, True),
        ],
    )
    async def test_present_build_links_to_any_server(
        self, protocols, permits, streams
    ):
        """Guards against messages that an older server can't read."""
        async with (
            older_server(protocols) as port,
            open_link(port) as link,
        ):
            assert link.supports_permits is permits
            assert link.supports_stream_starts is streams
            assert await link.call(heartbeat(version_period=1), 5) == Ack()

    @pytest.mark.parametrize(
        ('protocols', 'agreed'),
        [
            ((), None),
            ((PERMITS,), PERMITS),
            ((STREAMS, PERMITS), STREAMS),
        ],
    )
    async def test_present_server_accepts_any_client(self, protocols, agreed):
        """Guards against an older client that gets no permits any more."""
        async with (
            running_server(Peer().handle) as port,
            aiohttp.ClientSession() as session,
            session.ws_connect(
                f'ws://127.0.0.1:{port}/link',
                headers={'X-Oriolegauge-Member': 'd1'},
                protocols=protocols,
            ) as socket,
        ):
            assert socket.protocol == agreed
            await socket.send_bytes(encode(envelope(heartbeat())))
            async with asyncio.timeout(5):
                frame = await socket.receive()
            assert decode(frame.data).message == Ack()

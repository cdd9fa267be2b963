"""Tests of the headers of requests and responses."""

from datetime import UTC, datetime, timedelta
from email.utils import format_datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.platform.headers import PlatformWire
from rosemaryknot.values.gateway import GatewayRequest, RoutedServer
from rosemaryknot.values.gateway_peers import LoadReport
from rosemaryknot.values.gateway_responses import Framing, TargetFault
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.messages import decode_message, encode_message
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.retry_after import InvalidRetryAfter
from rosemaryknot.values.server_limits import InvalidLimit

SERVER = RoutedServer(ServerIncarnation("i-1"), "s", "z", Address("10.0.0.1", 80))
HEAD = [
    (b"Host", b"a.example:8080"),
    (b"Rosemaryknot-Attempt-Id", b"r1"),
    (b"Rosemaryknot-Deadline-Ms", b"1500"),
    (b"Rosemaryknot-Token-Usage", b"1460,80"),
    (b"Rosemaryknot-Prefix-Hash", b"5c1e:800,91bd:410,e440:250"),
    (b"Authorization", b"Bearer  k1"),
    (b"Connection", b"x-once, keep-alive"),
    (b"X-Once", b"1"),
    (b"X-Kept", b"1"),
]


def read(headers=HEAD, target=b"/a/b?c=1"):
    return PlatformWire().read_request(b"POST", target, headers, b"body", 3.0)


class TestRequests:
    def test_is_decoded(self):
        request = read()
        assert (request.id, request.host, request.path) == ("r1", "a.example", "/a/b")
        assert (request.key, request.caller_timeout_s) == ("k1", 1.5)
        assert request.size.prompt_tokens == 1460
        assert [part.id for part in request.size.segments] == ["5c1e", "91bd", "e440"]

    def test_forwarded_headers(self):
        names = dict(PlatformWire().server_headers(read(), SERVER, "ada", 1.2, 3, b"7"))
        assert names[b"rosemaryknot-deadline-ms"] == b"1200"
        assert names[b"rosemaryknot-expect-instance"] == b"i-1"
        assert names[b"rosemaryknot-tenant"] == b"ada"
        assert names[b"rosemaryknot-attempt-id"] == b"r1"
        assert names[b"content-length"] == b"4"
        assert names[b"x-kept"] == b"1"
        assert b"resumes" not in names
        assert b"x-once" not in names and b"authorization" not in names

    def test_stream_that_is_resumed(self):
        request = read([*HEAD, (b"Last-Event-Id", b"6"), (b"Resumes", b"r0")])
        assert (request.last_event_id, request.resumes) == (b"6", "r0")
        names = dict(
            PlatformWire().server_headers(request, SERVER, "ada", 1.2, 3, b"7")
        )
        assert names[b"resumes"] == b"r0"
        assert read().resumes is None

    def test_target_is_not_a_path(self):
        assert isinstance(read(target=b"http://a.example/"), TargetFault)
        assert isinstance(read(headers=[]), TargetFault)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([name for name, _ in HEAD]), st.binary(max_size=40)
            )
        )
    )
    def test_any_values(self, headers):
        """Arbitrary header values give a request or a fault, never an exception."""
        found = read([(b"Host", b"a.example"), *headers])
        assert isinstance(found, GatewayRequest | TargetFault)


EXTREME = st.sampled_from(
    [b"1" + b"0" * 20, b"9" * 400, b"1e308", b"-1", b"nan", b"inf", b"1_0", b"0x10"]
) | st.integers(-(2**70), 2**70).map(lambda number: b"%d" % number)


class TestExtremeNumbers:
    @pytest.mark.parametrize(
        "header",
        [
            (b"Rosemaryknot-Token-Usage", b"1" + b"0" * 20 + b",80"),
            (b"Rosemaryknot-Token-Usage", b"80,1e300"),
            (b"Rosemaryknot-Prefix-Hash", b"5c1e:" + b"9" * 400),
        ],
    )
    def test_number_out_of_range_names_its_header(self, header):
        """Guards against a number that no message between nodes can hold."""
        found = read([HEAD[0], (b"Rosemaryknot-Token-Usage", b"1,1"), header][::-1])
        assert isinstance(found, TargetFault) and found.status == 400
        assert header[0].decode().lower() in found.reason

    @given(st.lists(EXTREME, min_size=4, max_size=4))
    def test_accepted_numbers_can_be_encoded(self, numbers):
        """Guards against an accepted request whose load no report can hold."""
        prompt, output, segment, deadline = numbers
        found = read(
            [
                HEAD[0],
                (b"Rosemaryknot-Token-Usage", prompt + b"," + output),
                (b"Rosemaryknot-Prefix-Hash", b"5c1e:" + segment),
                (b"Rosemaryknot-Deadline-Ms", deadline),
            ]
        )
        if isinstance(found, TargetFault):
            return
        size = found.size
        tokens = [size.prompt_tokens, size.max_output_tokens]
        tokens += [segment.tokens for segment in size.segments]
        many = 1 << 20
        report = LoadReport("n0", {"s": [many, many * sum(tokens)]}, [])
        assert decode_message(encode_message(report))[0] == report

    @given(EXTREME)
    def test_any_response_is_decoded(self, number):
        headers = [
            (b"Keep-Alive", b"timeout=" + number),
            (b"Server-Limit", number),
            (b"Server-Brittle", number),
            (b"Retry-After", number),
        ]
        assert PlatformWire().read_response(200, headers).status == 200


class TestResponses:
    def test_is_decoded(self):
        head = PlatformWire().read_response(
            503,
            [
                (b"Rosemaryknot-Not-Executed", b"1"),
                (b"Rosemaryknot-Attempt-Id", b"r1"),
                (b"Connection", b"close"),
                (b"Keep-Alive", b"timeout=7"),
                (b"Content-Length", b"0"),
            ],
        )
        assert head.not_run and head.is_closing
        assert head.framing is Framing.LENGTH
        assert (head.request_id, head.keep_alive_s) == ("r1", 7.0)
        assert not head.is_signed

    def test_misdirected_has_not_run(self):
        assert PlatformWire().read_response(421, []).not_run


def limit_of(*values):
    headers = [(b"Server-Limit", value) for value in values]
    return PlatformWire().read_response(200, headers).limit


class TestLimits:
    @pytest.mark.parametrize(
        ("values", "limit"),
        [
            ((), None),
            ((b"2",), 2.0),
            ((b" 1.80 ",), 1.8),
            ((b"0",), 0.0),
            ((b"3", b"2.5"), 2.5),
            ((b"rubbish", b"4"), 4.0),
        ],
    )
    def test_decimal_numbers(self, values, limit):
        assert limit_of(*values) == limit

    @pytest.mark.parametrize(
        "value",
        [
            b"-1",
            b"nan",
            b"inf",
            b"",
            b"1e9",
            b"two",
            b"1,8",
            b"1.8, 2",
            b"0x1",
            b"9" * 20,
        ],
    )
    def test_anything_else_is_invalid(self, value):
        assert isinstance(limit_of(value), InvalidLimit)


class TestAvailability:
    """What responses state of drains and pauses."""

    @pytest.mark.parametrize(
        ("texts", "is_draining"),
        [
            (["1"], True),
            ([" 1 "], True),
            (["0", "1"], True),
            (["0"], False),
            (["yes"], False),
            (["11"], False),
            ([""], False),
            ([], False),
        ],
    )
    def test_drain(self, texts, is_draining):
        headers = [(b"Server-Leaving", text.encode()) for text in texts]
        assert PlatformWire().read_response(200, headers).is_draining is is_draining

    @pytest.mark.parametrize(
        ("texts", "delay"),
        [
            (["3"], 3.0),
            (["0.25"], 0.25),
            (["0"], 0.0),
            (["0.2", "3"], 3.0),
            (["Thu, 01 Jan 1970 00:00:09 GMT"], 5.0),
            (["Thu, 01 Jan 1970 00:00:01 GMT"], 0.0),
            (["86400000"], 86400.0),
            (["-1"], InvalidRetryAfter("-1")),
            (["nan"], InvalidRetryAfter("nan")),
            (["1e300"], InvalidRetryAfter("1e300")),
            ([""], InvalidRetryAfter("")),
            (["Thu, 99 Jan 1970 00:00:01 GMT"], InvalidRetryAfter),
            ([], None),
        ],
    )
    def test_retry_after(self, texts, delay):
        headers = [(b"Date", b"Thu, 01 Jan 1970 00:00:04 GMT")]
        headers += [(b"Retry-After", text.encode()) for text in texts]
        head = PlatformWire().read_response(503, headers)
        if delay is InvalidRetryAfter:
            assert isinstance(head.retry_after, InvalidRetryAfter)
        else:
            assert head.retry_after == delay

    def test_date_counts_from_now_without_that_of_the_response(self):
        date = format_datetime(datetime.now(UTC) + timedelta(seconds=30), usegmt=True)
        head = PlatformWire().read_response(503, [(b"Retry-After", date.encode())])
        assert 25 < head.retry_after <= 31

#include "hickorypost/http1/parser.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost::http1;

std::string chunk(std::string_view bytes)
{
    std::string out;
    append_chunk(out, bytes);
    return out;
}

/// Pushes the bytes one by one: no result may hang on how the network cuts them.
template <class Parser>
void drip(Parser& parser, std::string_view bytes)
{
    for (const char c : bytes) {
        parser.push({&c, 1});
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(http1_parser)

BOOST_AUTO_TEST_CASE(a_request_with_a_length_is_read_whole)
{
    request_parser it{{}};
    drip(it, "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
    BOOST_REQUIRE(it.done());
    BOOST_TEST(it.head().method == "POST");
    BOOST_TEST(it.head().target == "/a/b?c=d");
    BOOST_TEST(it.body() == "hello");
    BOOST_TEST(it.head().keep_alive);
}

// Guards against memory that a growing body or a head takes beyond what is accounted for.
BOOST_AUTO_TEST_CASE(memory_of_a_request_includes_its_head_and_spare_capacity)
{
    request_parser it{{}};
    std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
    constexpr std::size_t lines = 100;
    for (std::size_t n = 0; n < lines; ++n) {
        head += "X: y\r\n";
    }
    it.push(head + "\r\n");
    BOOST_REQUIRE(it.head_done());
    BOOST_TEST(it.memory_bytes() >= head.size() + lines * sizeof(field));
    const std::size_t before = it.memory_bytes();
    constexpr std::size_t chunks = 1000;
    for (std::size_t n = 0; n < chunks; ++n) {
        it.push(chunk("x"));
    }
    BOOST_TEST(it.body().capacity() > chunks);
    BOOST_TEST(it.memory_bytes() >= before + it.body().capacity());
    it.abandon();
    BOOST_TEST(it.memory_bytes() < 100U);
}

// Guards against a body that takes its memory twice while it grows.
BOOST_AUTO_TEST_CASE(body_with_a_length_does_not_move_while_it_grows)
{
    constexpr std::size_t length = std::size_t{1} << 16U;
    request_parser it{{}};
    it.push("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\nx");
    const char* const at = it.body().data();
    while (!it.done()) {
        it.push(std::string(length / 64, 'x'));
    }
    BOOST_TEST(it.body().data() == at);
}

BOOST_AUTO_TEST_CASE(a_chunked_request_is_read_whole)
{
    request_parser it{{}};
    drip(it, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("hel") +
                 chunk("lo") + std::string{last_chunk});
    BOOST_REQUIRE(it.done());
    BOOST_TEST(it.body() == "hello");
}

BOOST_AUTO_TEST_CASE(requests_that_come_together_are_told_apart)
{
    request_parser it{{}};
    it.push("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(it.done());
    BOOST_TEST(it.head().target == "/1");
    it.next();
    BOOST_REQUIRE(it.done());
    BOOST_TEST(it.head().target == "/2");
    it.next();
    BOOST_TEST(!it.begun());
}

// Guards against refusing callers that send a line break after the body of a request.
BOOST_AUTO_TEST_CASE(blank_lines_before_a_request_line_are_ignored)
{
    const std::string text = "\r\n\r\nPOST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
                             "\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        request_parser it{{}};
        it.push(std::string_view{text}.substr(0, cut));
        it.push(std::string_view{text}.substr(cut));
        BOOST_REQUIRE(it.done());
        BOOST_TEST(it.head().target == "/1");
        BOOST_TEST(it.body() == "ab");
        it.next();
        BOOST_REQUIRE(it.done());
        BOOST_TEST(it.head().target == "/2");
    }
    request_parser it{{}};
    drip(it, text.substr(0, text.find("ab") + 2));
    BOOST_REQUIRE(it.done());
    BOOST_TEST(it.head().target == "/1");
}

// Guards against a caller that holds a connection as a request in progress by sending blank lines.
BOOST_AUTO_TEST_CASE(blank_lines_do_not_begin_a_request)
{
    request_parser it{{}};
    for (const std::string_view bytes : {"\r", "\n", "\r\n", "\r\n\r"}) {
        it.push(bytes);
        BOOST_TEST(!it.begun());
    }
    it.push("\nG");
    BOOST_TEST(it.begun());
}

// Guards against blank lines without end, and against other line breaks that pass for one.
BOOST_AUTO_TEST_CASE(blank_lines_are_bounded)
{
    request_parser endless{{}};
    for (int n = 0; n < 100; ++n) {
        endless.push("\r\n");
    }
    BOOST_TEST((endless.fault() == parse_fault::malformed));
    for (const std::string_view start : {"\n", "\r\r\n", " \r\n", "\r\n\n"}) {
        request_parser it{{}};
        it.push(std::string{start} + "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_TEST((it.fault() == parse_fault::malformed), "accepted");
    }
    response_parser answer;
    answer.push("\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(!answer.head_done());
}

// A caller hides a second request in the body of the first by naming two lengths. Two readers that
// choose different ones would see different requests; such a message must be refused.
BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused)
{
    const std::string_view both = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n";
    const std::string_view two = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                                 "Content-Length: 9\r\n\r\nabcdefghi";
    for (const auto text : {both, two}) {
        request_parser it{{}};
        it.push(text);
        BOOST_TEST((it.fault() == parse_fault::malformed));
    }
}

BOOST_AUTO_TEST_CASE(sizes_are_bounded)
{
    request_parser head{{.head_bytes = 200, .body_bytes = 100}};
    head.push("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    BOOST_TEST((head.fault() == parse_fault::head_too_large));
    request_parser body{{.head_bytes = 200, .body_bytes = 100}};
    body.push("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
    BOOST_TEST((body.fault() == parse_fault::body_too_large));
}

BOOST_AUTO_TEST_CASE(an_answer_is_whole_only_at_its_last_byte)
{
    response_parser it;
    it.begin(false);
    drip(it, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
    BOOST_TEST(it.head_done());
    BOOST_TEST(!it.done());
    it.finish();
    BOOST_TEST((it.fault() == parse_fault::cut_short));
}

BOOST_AUTO_TEST_CASE(a_chunked_answer_without_its_last_chunk_is_cut_short)
{
    response_parser it;
    it.begin(false);
    it.push("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("abc"));
    BOOST_TEST(it.take_body() == "abc");
    it.finish();
    BOOST_TEST((it.fault() == parse_fault::cut_short));
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_connection)
{
    response_parser it;
    it.begin(false);
    it.push("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc");
    BOOST_TEST((it.head().body == framing::until_close));
    BOOST_TEST(!it.done());
    it.finish();
    BOOST_TEST(it.done());
    BOOST_TEST(it.take_body() == "abc");
}

// A backend server sends bytes after a whole answer. They belong to no request and must be seen.
BOOST_AUTO_TEST_CASE(bytes_after_an_answer_are_noticed)
{
    response_parser it;
    it.begin(false);
    it.push("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
    BOOST_REQUIRE(it.done());
    BOOST_TEST(it.has_extra());
}

BOOST_AUTO_TEST_CASE(garbage_is_no_answer)
{
    response_parser it;
    it.begin(false);
    it.push("\x7f\x45LF this is not an answer\r\n\r\n");
    BOOST_TEST((it.fault() == parse_fault::malformed));
}

// Guards against waiting for a final response behind one whose status is invalid, and against
// passing that status on.
BOOST_AUTO_TEST_CASE(response_with_an_invalid_status_is_malformed)
{
    for (const std::string_view status : {"000", "001", "099", "600", "999", "1000", "20", "2000",
                                          "-20", "+200", "2x0", "0200", ""}) {
        response_parser it;
        it.begin(false);
        it.push("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 0\r\n\r\n");
        BOOST_TEST((it.fault() == parse_fault::malformed), status);
    }
    for (const std::string_view status : {"200", "299", "404", "599"}) {
        response_parser it;
        it.begin(false);
        it.push("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 0\r\n\r\n");
        BOOST_TEST(it.done(), status);
    }
}

BOOST_AUTO_TEST_CASE(hop_by_hop_fields_are_removed)
{
    field_list it;
    it.add("Connection", "close, X-Private");
    it.add("Keep-Alive", "timeout=5");
    it.add("x-private", "1");
    it.add("X-Kept", "2");
    it.remove_hop_by_hop();
    BOOST_TEST(!it.find("Connection"));
    BOOST_TEST(!it.find("X-Private"));
    BOOST_TEST(!it.find("keep-alive"));
    BOOST_TEST(*it.find("x-kept") == "2");
}

// Guards against requests that were given up and still take memory.
BOOST_AUTO_TEST_CASE(abandoned_request_frees_its_memory)
{
    constexpr std::size_t length = 100'000;
    request_parser parser{{}};
    parser.push("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(length, 'x'));
    BOOST_REQUIRE(parser.body().size() == length);
    parser.abandon();
    BOOST_TEST(parser.body().capacity() < 1'000U);
}

// Guards against heads whose short fields take many times their length in memory.
BOOST_AUTO_TEST_CASE(head_with_too_many_fields_is_rejected)
{
    for (const std::size_t fields : {200U, 300U}) {
        request_parser parser{{.head_bytes = 16'384, .body_bytes = 100}};
        std::string text = "GET / HTTP/1.1\r\n";
        for (std::size_t n = 0; n < fields; ++n) {
            text += "a:\r\n";
        }
        parser.push(text + "\r\n");
        BOOST_TEST(parser.done() == (fields == 200U));
        BOOST_TEST(
            (parser.fault() == (fields == 200U ? parse_fault::none : parse_fault::head_too_large)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

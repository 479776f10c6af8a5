#include "hickorypost/http1/parser.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost::http1;

struct response_case {
    std::string head;
    std::string body;
    bool bodyless = false; ///< it answers HEAD
};

const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";

const std::vector<response_case> cases{
    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX: y\r\n\r\n", "twelve bytes"},
    {"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\nConnection: close\r\n\r\n", "twelve bytes"},
    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\na\r\n0\r\nT: t\r\n\r\n"},
    {"HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
    {"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", ""},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "", true},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", true},
    {"HTTP/1.1 200 OK\r\n\r\n", ""},
    {"HTTP/1.1 200 \r\n\r\n", ""},
};

std::string with_bare_line_feeds(std::string head)
{
    std::erase(head, '\r');
    return head;
}

/// Pushes the bytes of `whole` up to `n` in pieces of `step` bytes, and skips interim responses.
void push_prefix(response_parser& it, const response_case& what, std::string_view whole,
                 std::size_t n, std::size_t step)
{
    constexpr unsigned first_final_status = 200;
    it.begin(what.bodyless);
    for (std::size_t at = 0; at < n; at += step) {
        it.push(whole.substr(at, std::min(step, n - at)));
        while (it.done() && it.head().status < first_final_status) {
            it.begin(what.bodyless);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_response)

// Guards against a response that counts as whole although its head or body was cut short.
BOOST_AUTO_TEST_CASE(response_cut_at_any_byte_is_not_done)
{
    for (const auto& it : cases) {
        for (const auto& before : {std::string{}, interim}) {
            const std::string whole = before + it.head + it.body;
            const std::size_t head_size = before.size() + it.head.size();
            for (std::size_t n = 0; n < whole.size(); ++n) {
                for (const std::size_t step : {std::size_t{1}, whole.size()}) {
                    response_parser parser;
                    push_prefix(parser, it, whole, n, step);
                    const auto text = whole.substr(0, n) + "|";
                    BOOST_TEST(!parser.done(), text);
                    BOOST_TEST((parser.head_done() == (n >= head_size)), text);
                    parser.finish();
                    BOOST_TEST(!parser.done(), text);
                    BOOST_TEST((n <= before.size() || parser.fault() != parse_fault::none), text);
                }
            }
        }
    }
}

// Guards against rejecting whole responses, and against ending one before its connection.
BOOST_AUTO_TEST_CASE(whole_response_is_done)
{
    for (const auto& it : cases) {
        for (const auto& before : {std::string{}, interim}) {
            const std::string whole = before + it.head + it.body;
            response_parser parser;
            push_prefix(parser, it, whole, whole.size(), 1);
            BOOST_REQUIRE(parser.head_done());
            BOOST_TEST(parser.done() == (parser.head().body != framing::until_close), whole);
            parser.finish();
            BOOST_TEST(parser.done(), whole);
        }
    }
}

// Guards against a head whose lines end without a carriage return and that is read only in part.
BOOST_AUTO_TEST_CASE(head_with_bare_line_feeds_is_never_done)
{
    for (const auto& it : cases) {
        const std::string whole = with_bare_line_feeds(it.head) + it.body;
        for (std::size_t n = 0; n <= whole.size(); ++n) {
            response_parser parser;
            push_prefix(parser, it, whole, n, 1);
            parser.finish();
            BOOST_TEST(!parser.head_done(), whole.substr(0, n));
            BOOST_TEST(!parser.done(), whole.substr(0, n));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

/// Properties of the reader of HTTP/1.1 messages over a corpus and its mutations: the result does
/// not depend on how the bytes are split, and no input exceeds the limits.

#include "hickorypost/http1/parser.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck/boost_test.h>

namespace {

using namespace hickorypost::http1;

constexpr parse_limits small_limits{.head_bytes = 300, .body_bytes = 400};
constexpr std::size_t response_head_limit = 32U << 10U;

/// Everything that a connection's owner learns from its bytes.
struct reading {
    std::vector<std::string> messages; ///< heads and bodies, also of an incomplete last one
    parse_fault fault = parse_fault::none;
    bool begun = false;
    std::size_t most_buffered = 0; ///< not compared

    friend bool operator==(const reading& a, const reading& b)
    {
        return a.messages == b.messages && a.fault == b.fault && a.begun == b.begun;
    }
};

std::ostream& operator<<(std::ostream& out, const reading& it)
{
    out << describe(it.fault) << (it.begun ? ", begun" : "") << ", messages:";
    for (const auto& message : it.messages) {
        out << "\n[" << message << "]";
    }
    return out;
}

using pieces = std::vector<std::string_view>;
using read_fn = std::function<reading(const pieces&)>;

reading read_requests(const pieces& input)
{
    reading out;
    request_parser it{small_limits};
    for (const auto piece : input) {
        it.push(piece);
        out.most_buffered = std::max(out.most_buffered, it.buffered());
        while (it.done()) {
            out.messages.push_back(write_request_head(it.head()) + it.body());
            it.next();
        }
    }
    out.fault = it.fault();
    out.begun = out.fault == parse_fault::none && it.begun();
    if (it.head_done()) {
        out.messages.push_back(write_request_head(it.head()) + it.body());
    }
    return out;
}

reading read_responses(const pieces& input)
{
    reading out;
    response_parser it;
    std::string body;
    for (const auto piece : input) {
        it.push(piece);
        body += it.take_body();
        while (it.done()) {
            out.messages.push_back(write_response_head(it.head()) + std::exchange(body, {}));
            const bool has_more = it.has_extra();
            it.begin(false);
            body += it.take_body();
            if (!has_more) {
                break;
            }
        }
    }
    out.fault = it.fault();
    if (it.head_done()) {
        out.messages.push_back(write_response_head(it.head()) + body);
    }
    return out;
}

const std::vector<std::string>& request_corpus()
{
    static const std::string head = "POST /p?q HTTP/1.1\r\nHost: h\r\n";
    static const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    static const std::vector<std::string> out{
        "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nx",
        "GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n",
        head + "Content-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n",
        head + "Content-Length: 0\r\n\r\n",
        chunked + "0\r\n\r\n",
        chunked + "3\r\nabc\r\n0\r\n\r\n" + chunked + "0\r\n\r\nG",
        chunked + "1;a=b\r\nx\r\n1 ; c=\"d\"\r\ny\r\n0;e\r\n\r\n",
        chunked + "000000000000000000000005\r\nhello\r\n0\r\nT: 1\r\nU:\r\n\r\n",
        chunked + "a\r\n0123456789\r\nA\r\n0123456789\r\n00\r\n\r\n",
        // Invalid.
        chunked + "\r\n0\r\n\r\n",
        chunked + "x\r\n",
        chunked + ";a\r\n",
        chunked + "5\nhello",
        chunked + "1\r\nabc\r\n",
        chunked + "0\r\nT 1\r\n\r\n",
        chunked + "0\r\n: 1\r\n\r\n",
        chunked + "0\r\nT: 1\n\r\n",
        chunked + "0\r\n\rx",
        chunked + "-1\r\n",
        chunked + "0x1\r\nx\r\n",
        chunked + "fffffffffffffffff\r\n",
        chunked + "ffffffffffffffff\r\n",
        chunked + "191\r\n",
        chunked + "0\r\nT: " + std::string(300, 't') + "\r\n\r\n",
        chunked + "1;" + std::string(300, 'e') + "\r\nx\r\n0\r\n\r\n",
        head + "Content-Length: 401\r\n\r\n",
        head + "X: " + std::string(300, 'x') + "\r\n\r\n",
        "GET /" + std::string(400, 'x'),
        "not http\r\n" + std::string(400, 'x'),
        "\x16\x03\x01\x02",
        "\r\nGET / HTTP/1.1\r\n\r\n",
    };
    return out;
}

/// Messages whose end other readers find elsewhere.
const std::vector<std::string>& ambiguous_requests()
{
    static const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    static const std::string rest = "\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    static const std::vector<std::string> out{
        head + "Content-Length: 5\r\nContent-Length: 6\r\n" + rest,
        head + "Content-Length: 5\r\nContent-Length: 5\r\n" + rest,
        head + "Content-Length: 5, 5\r\n" + rest,
        head + "Content-Length: +5\r\n" + rest,
        head + "Content-Length: -5\r\n" + rest,
        head + "Content-Length: 0x5\r\n" + rest,
        head + "Content-Length: 5 5\r\n" + rest,
        head + "Content-Length:\r\n" + rest,
        head + "Content-Length: 99999999999999999999\r\n" + rest,
        head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" + rest,
        head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n" + rest,
        head + "Transfer-Encoding: gzip\r\n" + rest,
        head + "Transfer-Encoding: chunked, gzip\r\n" + rest,
        head + "Transfer-Encoding: gzip, chunked\r\n" + rest,
        head + "Transfer-Encoding: chunked, chunked\r\n" + rest,
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + rest,
        head + "Transfer-Encoding: xchunked\r\n" + rest,
        head + "Transfer-Encoding: \x0b" + "chunked\r\n" + rest,
        head + "Transfer-Encoding:\r\n" + rest,
        head + "Transfer-Encoding : chunked\r\n" + rest,
        head + "Content-Length : 5\r\n" + rest,
        head + " Content-Length: 5\r\n" + rest,
        head + "X: a\r\n Content-Length: 5\r\n" + rest,
        head + "X: a\r\n\tb\r\n" + rest,
        head + "X: a\nContent-Length: 5\r\n" + rest,
        head + "X: a\rContent-Length: 5\r\n" + rest,
        head + std::string{"X: a\0b\r\n", 8} + rest,
        head + std::string{"X\0: a\r\n", 7} + rest,
        "GET / HTTP/1.1\nHost: h\n\n",
    };
    return out;
}

const std::vector<std::string>& response_corpus()
{
    static const std::string head = "HTTP/1.1 200 OK\r\nX: y\r\n";
    static const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    static const std::vector<std::string> out{
        head + "Content-Length: 5\r\n\r\nhello",
        head + "Content-Length: 0\r\n\r\n",
        head + "\r\nuntil the end",
        chunked + "0\r\n\r\n",
        chunked + "3\r\nabc\r\n2;e\r\nde\r\n0\r\nT: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + chunked + "1\r\na\r\n0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 1\r\n\r\na",
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.0 200\r\n\r\nold",
        head + "X: folded\r\n value\r\nContent-Length: 1\r\n\r\na",
        // Invalid.
        head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: gzip\r\n\r\nx",
        chunked + "0\r\nT: 1\r\nU\r\n\r\n",
        chunked + "1\r\nab",
        chunked + "g\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/2 200\r\n\r\n",
        "SSH-2.0-x\r\n",
        std::string{"\0\0\0", 3},
    };
    return out;
}

pieces split(std::string_view text, std::vector<std::size_t> cuts)
{
    std::sort(cuts.begin(), cuts.end());
    pieces out;
    std::size_t from = 0;
    for (const auto cut : cuts) {
        out.push_back(text.substr(from, cut - from));
        from = cut;
    }
    out.push_back(text.substr(from));
    return out;
}

pieces single_bytes(std::string_view text)
{
    pieces out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        out.push_back(text.substr(n, 1));
    }
    return out;
}

/// Checks every split into two and three pieces, and single bytes.
void check_splits(const std::string& text, const read_fn& read)
{
    constexpr std::size_t longest_in_three = 160;
    const reading whole = read({text});
    const auto check = [&](const pieces& input) {
        if (const reading got = read(input); !(got == whole)) {
            BOOST_ERROR("split after " << input.front().size() << " bytes of [" << text
                                       << "]: " << got << "\nin one piece: " << whole);
        }
    };
    check(single_bytes(text));
    for (std::size_t a = 0; a <= text.size(); ++a) {
        check(split(text, {a}));
        for (std::size_t b = a; text.size() <= longest_in_three && b <= text.size(); ++b) {
            check(split(text, {a, b}));
        }
    }
}

/// A message of the corpus after a few random edits.
std::string mutated(const std::vector<std::string>& corpus)
{
    const auto below = [](std::size_t n) {
        return *rc::gen::inRange<std::size_t>(0, std::max<std::size_t>(n, 1));
    };
    static const std::vector<std::string> parts{"\r\n",
                                                "\r",
                                                "\n",
                                                "0",
                                                ":",
                                                ";",
                                                " ",
                                                "\t",
                                                std::string(1, '\0'),
                                                "chunked",
                                                "\xff",
                                                "Content-Length: 1\r\n",
                                                "Transfer-Encoding: chunked\r\n",
                                                "0\r\n\r\n",
                                                "ffffffffffffffff"};
    std::string out = corpus[below(corpus.size())];
    for (std::size_t edits = below(4); edits > 0; --edits) {
        const std::size_t at = below(out.size() + 1);
        const std::size_t n = std::min(below(8), out.size() - at);
        switch (below(4)) {
        case 0:
            out.erase(at, n);
            break;
        case 1:
            out.insert(at, parts[below(parts.size())]);
            break;
        case 2:
            out.replace(at, n, parts[below(parts.size())]);
            break;
        default:
            out.insert(at, out.substr(at));
            break;
        }
    }
    return out;
}

void check_mutations(const std::vector<std::string>& corpus, const read_fn& read,
                     std::size_t max_buffered)
{
    const std::string text = mutated(corpus);
    const reading whole = read({text});
    const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, text.size() + 1));
    const reading some = read(split(text, cuts));
    const reading bytes = read(single_bytes(text));
    RC_ASSERT(some == whole);
    RC_ASSERT(bytes == whole);
    RC_ASSERT(bytes.most_buffered <= max_buffered);
}

/// Pushes `start`, then `repeated` until a fault. Returns the bytes pushed after `start`; at most a
/// little more than `limit`.
template <class Parser>
std::size_t bytes_until_fault(Parser& it, std::string_view start, std::string_view repeated,
                              std::size_t limit)
{
    std::string piece;
    while (piece.size() < 1000) {
        piece += repeated;
    }
    it.push(start);
    std::size_t out = 0;
    while (it.fault() == parse_fault::none && out <= limit) {
        it.push(piece);
        out += piece.size();
    }
    return out;
}

const std::vector<std::pair<std::string, std::string>> endless_after_head{
    {"", "0"},         // size
    {"1;", "e"},       // extension
    {"1", " "},        // white space after a size
    {"0\r\nT: ", "t"}, // trailer
    {"0\r\n", "T: t\r\n"},
    {"0\r\n", "T"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(reader_fuzz)

// Guards against a host that ends because a chunked body is cut between its last line ends.
BOOST_AUTO_TEST_CASE(splits_of_requests_change_nothing)
{
    for (const auto& it : request_corpus()) {
        check_splits(it, read_requests);
    }
}

BOOST_AUTO_TEST_CASE(splits_of_ambiguous_requests_change_nothing)
{
    for (const auto& it : ambiguous_requests()) {
        check_splits(it, read_requests);
    }
}

BOOST_AUTO_TEST_CASE(splits_of_responses_change_nothing)
{
    for (const auto& it : response_corpus()) {
        check_splits(it, read_responses);
    }
}

// Guards against a hidden request in the body of another one.
BOOST_AUTO_TEST_CASE(requests_with_more_than_one_reading_are_malformed)
{
    for (const auto& it : ambiguous_requests()) {
        const reading got = read_requests({it});
        BOOST_TEST((got.fault == parse_fault::malformed), "accepted: " << it << got);
        BOOST_TEST(got.messages.empty());
    }
}

RC_BOOST_PROP(mutated_requests_read_the_same_in_any_split, ())
{
    check_mutations(request_corpus(), read_requests, small_limits.head_bytes);
}

RC_BOOST_PROP(mutated_ambiguous_requests_read_the_same_in_any_split, ())
{
    check_mutations(ambiguous_requests(), read_requests, small_limits.head_bytes);
}

RC_BOOST_PROP(mutated_responses_read_the_same_in_any_split, ())
{
    check_mutations(response_corpus(), read_responses, response_head_limit);
}

// Guards against a host that hangs and grows while the lines of a chunked body do not end.
BOOST_AUTO_TEST_CASE(endless_lines_of_a_chunked_request_are_refused)
{
    constexpr std::size_t limit = 17U << 10U;
    for (const auto& [start, repeated] : endless_after_head) {
        request_parser it{{}};
        const std::size_t n = bytes_until_fault(
            it, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + start, repeated, limit);
        BOOST_TEST((it.fault() != parse_fault::none), "after " << n << " bytes: " << start);
        BOOST_TEST(it.buffered() == 0U);
    }
}

// Guards against the same from a backend server.
BOOST_AUTO_TEST_CASE(endless_lines_of_a_chunked_response_are_refused)
{
    constexpr std::size_t limit = 33U << 10U;
    for (const auto& [start, repeated] : endless_after_head) {
        response_parser it;
        const std::size_t n = bytes_until_fault(
            it, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start, repeated, limit);
        BOOST_TEST((it.fault() != parse_fault::none), "after " << n << " bytes: " << start);
    }
}

BOOST_AUTO_TEST_CASE(endless_heads_are_refused)
{
    for (const std::string repeated : {"x", "X: y\r\n", "\r\n", "\n"}) {
        for (const std::string start :
             {"", "GET /", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nX: "}) {
            request_parser it{{}};
            bytes_until_fault(it, start, repeated, 17U << 10U);
            const bool ended = it.fault() != parse_fault::none || it.done();
            BOOST_TEST(ended, "request: " << start << repeated);
        }
        for (const std::string start :
             {"HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: "}) {
            response_parser it;
            it.push(start);
            const bool empty_head = repeated == "\r\n" && start != "HTTP/1.1 2";
            bytes_until_fault(it, {}, repeated, 33U << 10U);
            BOOST_TEST((it.fault() != parse_fault::none || empty_head),
                       "response: " << start << repeated);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

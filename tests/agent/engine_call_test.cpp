#include "engine_call.h"

#include "raw_server.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

const std::string json_body = R"({"choices":[],"usage":{"prompt_tokens":3}})";
const std::string json_head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const std::string events = "data: {\"a\":1}\n\ndata: [DONE]\n\n";
const std::string event_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

std::string chunk(const std::string& bytes)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string with_length(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string with_chunks(const std::string& head, const std::string& body)
{
    return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, 7)) +
           chunk(body.substr(7)) + "0\r\n\r\n";
}

std::string with_bare_line_feeds(std::string answer)
{
    std::erase(answer, '\r');
    return answer;
}

/// Calls a server that sends fixed bytes to each of its connections.
class played_call {
public:
    played_call(std::string bytes, connection_end how, bool event_stream)
        : server_{std::move(bytes), how}
    {
        dispatch::backend_call request;
        request.method = "POST";
        request.url = "http://127.0.0.1:" + std::to_string(server_.port()) + "/v1/chat/completions";
        request.content_type = "application/json";
        request.body = "{}";
        request.event_stream = event_stream;
        engine_call_hooks hooks;
        hooks.head = [](std::uint32_t, std::string_view) {};
        hooks.bytes = [this](std::string_view it) { body.append(it); };
        hooks.over = [this](const dispatch::call_result& it) { result = it; };
        call_ = std::make_unique<engine_call>(session_.get(), request, std::move(hooks));
        server_.run_until([this] { return result.has_value(); });
    }

    [[nodiscard]] bool is_complete() const
    {
        return result && result->outcome == wire::run_outcome::complete;
    }

    std::string body;
    std::optional<dispatch::call_result> result;

private:
    raw_server server_;
    net::gobject_ptr<SoupSession> session_{soup_session_new()};
    std::unique_ptr<engine_call> call_;
};

struct answer_case {
    const char* name;
    std::string bytes;
    bool event_stream;
};

const std::vector<answer_case> framed_answers{
    {"length", with_length(json_head, json_body), false},
    {"length and close", with_length(json_head + "Connection: close\r\n", json_body), false},
    {"chunks", with_chunks(json_head, json_body), false},
    {"until close", json_head + "\r\n" + json_body, false},
    {"bare line feeds", with_bare_line_feeds(with_length(json_head, json_body)), false},
    {"behind interim answers",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
         with_length(json_head, json_body),
     false},
    {"stream with length", with_length(event_head, events), true},
    {"stream in chunks", with_chunks(event_head, events), true},
    {"stream until close", event_head + "\r\n" + events, true},
};

const std::vector<answer_case> empty_answers{
    {"no body", "HTTP/1.1 204 No Content\r\nX-Engine: a\r\n\r\n", false},
    {"length 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
    {"status line only", "HTTP/1.1 200 OK\r\n", false},
    {"not modified", "HTTP/1.1 304 Not Modified\r\n\r\n", false},
    {"other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false},
};

const std::string error_head = "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n";

const std::vector<answer_case> rejections{
    {"length", with_length(error_head, json_body), false},
    {"length and close", with_length(error_head + "Connection: close\r\n", json_body), false},
    {"chunks", with_chunks(error_head, json_body), false},
    {"until close", error_head + "\r\n" + json_body, false},
    {"chunks for a stream", with_chunks(error_head, json_body), true},
};

/// Number of leading bytes that hold the whole body: up to the `[DONE]` line of a stream, or up to
/// the end of a JSON object in chunks, whose last chunk adds nothing.
std::size_t needed_bytes(const answer_case& it)
{
    constexpr std::string_view done_line = "data: [DONE]\n";
    if (const auto at = it.bytes.find(done_line); at != std::string::npos) {
        return at + done_line.size();
    }
    return it.bytes.ends_with("0\r\n\r\n") ? it.bytes.rfind('}') + 1 : it.bytes.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_call_suite)

// Guards against rejecting whole answers.
BOOST_AUTO_TEST_CASE(whole_answers_are_complete)
{
    for (const auto& it : framed_answers) {
        const played_call call{it.bytes, connection_end::fin, it.event_stream};
        BOOST_TEST(call.is_complete(), it.name);
        BOOST_TEST(call.body == (it.event_stream ? events : json_body), it.name);
    }
}

// Guards against an answer that was cut short, in its head or later, and is reported as complete.
BOOST_AUTO_TEST_CASE(answer_cut_at_any_byte_is_not_complete)
{
    for (const auto& it : framed_answers) {
        for (const auto how : {connection_end::fin, connection_end::reset}) {
            for (std::size_t n = 0; n < needed_bytes(it); ++n) {
                const played_call call{it.bytes.substr(0, n), how, it.event_stream};
                BOOST_REQUIRE(call.result.has_value());
                BOOST_TEST(!call.is_complete(), it.name << " cut to " << n << " bytes by "
                                                        << name_of(how) << ", body of "
                                                        << call.body.size() << " bytes");
            }
        }
    }
}

// Guards against a head that was cut short and is reported as a complete answer without a body.
BOOST_AUTO_TEST_CASE(answer_without_a_body_is_not_complete_at_any_byte)
{
    for (const auto& it : empty_answers) {
        for (const auto how : {connection_end::fin, connection_end::reset}) {
            for (std::size_t n = 0; n <= it.bytes.size(); ++n) {
                const played_call call{it.bytes.substr(0, n), how, it.event_stream};
                BOOST_REQUIRE(call.result.has_value());
                BOOST_TEST(!call.is_complete(),
                           it.name << " cut to " << n << " bytes by " << name_of(how));
            }
        }
    }
}

// Guards against a rejection that was cut short and is passed on with its status as a whole one.
BOOST_AUTO_TEST_CASE(rejection_has_a_status_only_if_it_is_whole)
{
    for (const auto& it : rejections) {
        for (const auto how : {connection_end::fin, connection_end::reset}) {
            for (std::size_t n = 0; n < needed_bytes(it); ++n) {
                const played_call call{it.bytes.substr(0, n), how, it.event_stream};
                BOOST_REQUIRE(call.result.has_value());
                BOOST_TEST(!call.is_complete());
                BOOST_TEST(call.result->http_status == 0U,
                           it.name << " cut to " << n << " bytes by " << name_of(how));
            }
        }
        const played_call whole{it.bytes, connection_end::fin, it.event_stream};
        BOOST_REQUIRE(whole.result.has_value());
        BOOST_TEST(!whole.is_complete());
        BOOST_TEST(whole.result->http_status == 400U, it.name);
        BOOST_TEST(whole.body == json_body, it.name);
    }
}

// Guards against text in chunks that was cut between two of them and is reported as complete.
BOOST_AUTO_TEST_CASE(text_in_chunks_cut_at_any_byte_is_not_complete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    const auto bytes = with_chunks(head, "some words of text");
    for (const auto how : {connection_end::fin, connection_end::reset}) {
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            const played_call call{bytes.substr(0, n), how, false};
            BOOST_REQUIRE(call.result.has_value());
            BOOST_TEST(!call.is_complete(), "cut to " << n << " bytes by " << name_of(how));
        }
    }
    const played_call whole{bytes, connection_end::fin, false};
    BOOST_TEST(whole.is_complete());
}

BOOST_AUTO_TEST_SUITE_END()

#include "operator_client.h"

#include "raw_server.h"

#include <boost/test/unit_test.hpp>
#include <future>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// The client's view of a server that sends `bytes` and ends the connection.
operator_reply reply_to(std::string bytes, connection_end how)
{
    raw_server server{std::move(bytes), how};
    auto reply = std::async(std::launch::async, [port = server.port()] {
        operator_client client{{"http://127.0.0.1:" + std::to_string(port)}, "key", {}};
        return client.ask_all("/v1/records").front();
    });
    server.run_until(
        [&] { return reply.wait_for(std::chrono::seconds{0}) == std::future_status::ready; });
    return reply.get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_client_suite)

// Guards against an operator who sees success because of a reply that was cut short.
BOOST_AUTO_TEST_CASE(reply_cut_at_any_byte_has_no_status)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n";
    const std::string body = R"({"a":true})";
    for (const std::string more : {"", "Connection: close\r\n", "X-Host: c1\r\n"}) {
        std::string whole = head;
        whole.append(more).append("\r\n").append(body);
        for (const auto how : {connection_end::fin, connection_end::reset}) {
            for (std::size_t n = 0; n < whole.size(); ++n) {
                const auto reply = reply_to(whole.substr(0, n), how);
                BOOST_TEST(reply.status == 0U, whole.substr(0, n) << " ended by " << name_of(how));
            }
        }
        const auto reply = reply_to(whole, connection_end::fin);
        BOOST_TEST(reply.status == 200U);
        BOOST_TEST(reply.body == body);
    }
}

BOOST_AUTO_TEST_SUITE_END()

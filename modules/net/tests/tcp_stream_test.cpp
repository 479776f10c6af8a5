#include "hickorypost/net/tcp_stream.h"

#include "hickorypost/net/timer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <fcntl.h>
#include <glib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace hickorypost;

void run_main_loop()
{
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
}

/// A stream over TCP on the loopback interface whose peer is a plain socket.
struct stream_to_socket {
    explicit stream_to_socket(net::poller& on) : poller{on}
    {
        const auto listener = net::tcp_listener::open(poller, *net::endpoint::parse("127.0.0.1:0"),
                                                      [this](int fd) { peer = fd; });
        stream = net::tcp_stream::connect(
            poller, *net::endpoint::parse("127.0.0.1:" + std::to_string(listener->port())),
            millis{5000});
        net::tcp_stream::hooks hooks;
        hooks.bytes = [this](std::string_view bytes) { received += bytes; };
        hooks.ended = [this](net::stream_end how) { end = how; };
        stream->set_hooks(std::move(hooks));
        run_main_loop();
        BOOST_REQUIRE(peer >= 0);
        ::fcntl(peer, F_SETFL, O_NONBLOCK);
    }
    ~stream_to_socket()
    {
        if (peer >= 0) {
            ::close(peer);
        }
    }
    stream_to_socket(const stream_to_socket&) = delete;
    stream_to_socket& operator=(const stream_to_socket&) = delete;

    /// Writes until the kernel takes no more, as the peer does not read.
    void fill()
    {
        const std::string block(std::size_t{1} << 20U, 'x');
        while (stream->unsent() == 0) {
            stream->write(block);
            stream->write_now();
        }
        run_main_loop();
    }
    void send_from_peer(std::string_view bytes) const
    {
        BOOST_REQUIRE(::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(bytes.size()));
    }
    /// Sends from the peer until the kernel takes no more. Returns the number of bytes.
    [[nodiscard]] std::size_t fill_from_peer() const
    {
        const std::string block(std::size_t{1} << 20U, 'x');
        std::size_t out = 0;
        for (ssize_t n = 1; n > 0; out += static_cast<std::size_t>(std::max<ssize_t>(n, 0))) {
            n = ::send(peer, block.data(), block.size(), MSG_NOSIGNAL);
        }
        return out;
    }
    void close_peer() { ::close(std::exchange(peer, -1)); }

    net::poller& poller;
    int peer = -1;
    std::unique_ptr<net::tcp_stream> stream;
    std::string received;
    std::optional<net::stream_end> end;
};

/// While it exists, the process can open no further descriptor.
class no_free_descriptor {
public:
    no_free_descriptor()
    {
        const int lowest_free = ::dup(STDIN_FILENO);
        BOOST_REQUIRE(lowest_free >= 0);
        ::close(lowest_free);
        BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
        rlimit lowered = before_;
        lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
        BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~no_free_descriptor() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    no_free_descriptor(const no_free_descriptor&) = delete;
    no_free_descriptor& operator=(const no_free_descriptor&) = delete;

private:
    rlimit before_{};
};

/// Runs the main loop until `done` or for `limit`. Returns the number of its iterations.
int run_main_loop_until(const std::function<bool()>& done, millis limit)
{
    bool late = false;
    const auto timer = net::timer::once(limit, [&late] { late = true; });
    int out = 0;
    for (; !done() && !late; ++out) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tcp_stream_suite)

// Guards against a connection that waits until another one arrives, because no descriptor was free
// when it arrived.
BOOST_AUTO_TEST_CASE(connection_is_accepted_once_a_descriptor_is_free)
{
    net::poller poller;
    int accepted = -1;
    const auto listener = net::tcp_listener::open(poller, *net::endpoint::parse("127.0.0.1:0"),
                                                  [&](int fd) { accepted = fd; });
    const auto caller = net::tcp_stream::connect(
        poller, *net::endpoint::parse("127.0.0.1:" + std::to_string(listener->port())),
        millis{5000});
    {
        const no_free_descriptor shortage;
        run_main_loop();
        BOOST_TEST(accepted < 0);
    }
    run_main_loop_until([&] { return accepted >= 0; }, millis{5000});
    BOOST_TEST(accepted >= 0);
    ::close(accepted);
}

// Guards against a shortage of descriptors that takes all processor time or fills the log.
BOOST_AUTO_TEST_CASE(shortage_of_descriptors_is_reported_once_and_costs_little)
{
    net::poller poller;
    int accepted = 0;
    std::vector<int> errors;
    const auto listener = net::tcp_listener::open(
        poller, *net::endpoint::parse("127.0.0.1:0"),
        [&](int fd) {
            ++accepted;
            ::close(fd);
        },
        [&](int error) { errors.push_back(error); });
    const auto address = *net::endpoint::parse("127.0.0.1:" + std::to_string(listener->port()));
    for (int shortages = 1; shortages <= 2; ++shortages) {
        const auto caller = net::tcp_stream::connect(poller, address, millis{5000});
        const auto other_caller = net::tcp_stream::connect(poller, address, millis{5000});
        {
            const no_free_descriptor shortage;
            BOOST_TEST(run_main_loop_until([] { return false; }, millis{500}) < 20);
        }
        run_main_loop_until([&] { return accepted == 2 * shortages; }, millis{5000});
        BOOST_TEST(accepted == 2 * shortages);
        BOOST_TEST((errors == std::vector<int>(static_cast<std::size_t>(shortages), EMFILE)));
    }
}

// Guards against taking a reset for an orderly end because a failing send consumed its error, after
// which part of a body without a length looks complete.
BOOST_AUTO_TEST_CASE(reset_while_bytes_are_unsent_is_a_failure)
{
    net::poller poller;
    stream_to_socket it{poller};
    it.fill();
    it.send_from_peer("half");
    it.close_peer(); // with unread bytes, so the kernel resets the connection
    run_main_loop();
    BOOST_TEST(it.received == "half");
    BOOST_TEST((it.end == net::stream_end::failed));
}

// Guards against the same while reading is paused, when only a later write reaches the socket.
BOOST_AUTO_TEST_CASE(reset_found_by_a_write_while_reading_is_paused_is_a_failure)
{
    net::poller poller;
    stream_to_socket it{poller};
    it.stream->write("request");
    run_main_loop();
    it.stream->set_reading(false);
    it.send_from_peer("half");
    it.close_peer();
    it.stream->write("more");
    it.stream->write_now();
    it.stream->set_reading(true);
    run_main_loop();
    BOOST_TEST(it.received == "half");
    BOOST_TEST((it.end == net::stream_end::failed));
}

// Guards against rejecting a complete answer because the peer resets the rest of the request only
// after its orderly end.
BOOST_AUTO_TEST_CASE(reset_after_the_orderly_end_is_no_failure)
{
    net::poller poller;
    stream_to_socket it{poller};
    it.send_from_peer("whole");
    it.close_peer(); // everything read: the kernel sends FIN, and RST once bytes arrive
    it.stream->write("more");
    it.stream->write_now();
    it.stream->write("still more");
    it.stream->write_now();
    run_main_loop();
    BOOST_TEST(it.received == "whole");
    BOOST_TEST((it.end == net::stream_end::finished));
}

// Guards against a stream that stays open for output although the same event reported a reset.
BOOST_AUTO_TEST_CASE(reset_behind_the_end_of_the_input_ends_an_open_stream)
{
    net::poller poller;
    stream_to_socket it{poller};
    net::tcp_stream::hooks hooks;
    hooks.input_ended = [] { return true; };
    hooks.ended = [&it](net::stream_end how) { it.end = how; };
    it.stream->set_hooks(std::move(hooks));
    ::shutdown(it.peer, SHUT_WR);
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(it.peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    it.close_peer();
    run_main_loop();
    BOOST_REQUIRE(it.end.has_value());
    BOOST_TEST((*it.end == net::stream_end::failed));
}

// Guards against a peer that sends without end and keeps all other connections waiting.
BOOST_AUTO_TEST_CASE(peer_that_sends_without_end_is_read_in_turns)
{
    constexpr std::size_t most_at_once = std::size_t{512} << 10U;
    constexpr std::size_t most_sent = std::size_t{64} << 20U;
    net::poller poller;
    stream_to_socket busy{poller};
    std::size_t read = 0;
    std::size_t most_in_a_turn = 0;
    net::tcp_stream::hooks hooks;
    hooks.bytes = [&](std::string_view bytes) { read += bytes.size(); };
    busy.stream->set_hooks(std::move(hooks));
    ::fcntl(busy.peer, F_SETFL, 0);
    std::thread sender{[&] {
        const std::string block(std::size_t{1} << 20U, 'x');
        for (std::size_t sent = 0; sent < most_sent; sent += block.size()) {
            busy.send_from_peer(block);
        }
    }};
    while (read < most_sent) {
        const std::size_t before = read;
        g_main_context_iteration(nullptr, TRUE);
        most_in_a_turn = std::max(most_in_a_turn, read - before);
    }
    sender.join();
    BOOST_TEST(most_in_a_turn <= most_at_once);
}

// Guards against bytes that are never read because the peer has closed while much was unread.
BOOST_AUTO_TEST_CASE(everything_is_read_after_the_peer_has_closed)
{
    net::poller poller;
    stream_to_socket it{poller};
    const std::size_t sent = it.fill_from_peer();
    it.close_peer();
    run_main_loop();
    BOOST_TEST(it.received.size() == sent);
    BOOST_TEST((it.end == net::stream_end::finished));
}

BOOST_AUTO_TEST_SUITE_END()

/// Interleavings of a streamed answer with the steps of a host's drain, over real sockets.

#include "gateway/caller_server.h"

#include "loopback_listener.h"
#include "one_gateway.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <poll.h>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// A free port of a loopback address that no other call returns: the connections of thousands of
/// cases stay in TIME-WAIT and would use up the ports of a shared one.
net::endpoint unused_address()
{
    constexpr std::uint32_t first = 0x7F640001; // 127.100.0.1
    static std::uint32_t calls = 0;
    return loopback_listener{first + calls++}.address();
}

struct stream_case {
    std::size_t piece_bytes = 0;
    bool drain_before_head = false; ///< so that the answer has the header field `Connection: close`
    bool pipelines_request = false; ///< the caller sends part of a second request
};

/// A server that drains while one caller receives a streamed answer.
class draining_server {
public:
    explicit draining_server(stream_case params) : params_{params}, piece_(params.piece_bytes, 'x')
    {
        const net::endpoint address = unused_address();
        server_ = caller_server::open(poller_, timers_, [] { return instant{}; }, address,
                                      {[] { return gateway::caller_limits{}; },
                                       [this](const incoming_request& request) {
                                           port_ = request.answer;
                                           return nullptr;
                                       }});
        connect(address);
        run_main_loop();
        if (params_.drain_before_head) {
            server_->begin_drain();
        }
        if (port_) {
            http1::response_head head;
            head.status = 200;
            port_->begin(std::move(head));
        }
        if (params_.pipelines_request) {
            send("GET /next HTTP/1.1\r\n");
        }
        if (!params_.drain_before_head) {
            server_->begin_drain();
        }
    }
    ~draining_server() { ::close(fd_); }
    draining_server(const draining_server&) = delete;
    draining_server& operator=(const draining_server&) = delete;

    /// Runs one step: `P` sends a piece, `E` ends the stream, `T` runs the main loop, `D` runs a
    /// drain step, `R` lets the caller read.
    void step(char which)
    {
        switch (which) {
        case 'P':
            port_->piece(piece_);
            break;
        case 'E':
            port_->end();
            port_.reset();
            break;
        case 'T':
            run_main_loop();
            break;
        case 'D':
            drain_step();
            break;
        default:
            read();
            break;
        }
    }
    /// Runs server and caller until the drain has ended and the caller has received all that the
    /// kernel still delivers. Returns false if the drain does not end.
    bool finish()
    {
        constexpr int max_iterations = 10'000;
        for (int n = 0; n < max_iterations && server_; ++n) {
            run_main_loop();
            poll_caller(1);
            drain_step();
        }
        constexpr int max_delivery_ms = 10'000;
        while (!ended_ && poll_caller(max_delivery_ms)) {
        }
        return server_ == nullptr;
    }
    [[nodiscard]] bool answer_complete(std::size_t pieces) const
    {
        return !reset_ && received_.size() > pieces * params_.piece_bytes &&
               received_.ends_with(http1::last_chunk);
    }
    [[nodiscard]] bool started() const { return port_ != nullptr; }

private:
    void connect(const net::endpoint& address)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (params_.piece_bytes > 1000) {
            constexpr int receive_buffer = 4096;
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        to.sin_addr.s_addr = address.ip;
        if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
            send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        }
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    void send(std::string_view text) const
    {
        (void)::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    /// Reads what arrives within the time. Returns false if nothing does.
    bool poll_caller(int timeout_ms)
    {
        pollfd readable{fd_, POLLIN, 0};
        const int n = ::poll(&readable, ended_ ? 0 : 1, timeout_ms);
        read();
        return n > 0;
    }
    /// The step that a host repeats after SIGTERM, once it accepts no new callers.
    void drain_step()
    {
        if (!server_) {
            return;
        }
        server_->close_idle();
        if (server_->connections() == 0) {
            server_.reset();
        }
    }
    void read()
    {
        std::array<char, 65536> buf{};
        while (!ended_) {
            const ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
            if (n > 0) {
                received_.append(buf.data(), static_cast<std::size_t>(n));
                continue;
            }
            if (n < 0 && errno == EAGAIN) {
                return;
            }
            ended_ = true;
            reset_ = n < 0;
            // The caller closes once the answer has ended.
            ::shutdown(fd_, SHUT_RDWR);
        }
    }

    stream_case params_;
    std::string piece_;
    net::poller poller_;
    fake_scheduler timers_; ///< never advanced; the test needs no timeouts
    std::unique_ptr<caller_server> server_;
    std::shared_ptr<gateway::caller_port> port_;
    int fd_ = -1;
    std::string received_;
    bool ended_ = false;
    bool reset_ = false;
};

/// All interleavings of `other_steps` with a stream of two pieces and its end.
std::vector<std::string> all_orders(const std::string& other_steps)
{
    std::vector<std::string> out;
    std::string marks = other_steps + "SSS"; // `S` stands for the next of `P`, `P`, `E`
    std::sort(marks.begin(), marks.end());
    do {
        std::string order = marks;
        for (const char step : {'P', 'P', 'E'}) {
            order[order.find('S')] = step;
        }
        out.push_back(std::move(order));
    } while (std::next_permutation(marks.begin(), marks.end()));
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_server_suite)

// Guards against truncating a streamed answer that ends while its host drains: closing the
// connection too early drops unsent bytes, or resets it because of unread input.
BOOST_AUTO_TEST_CASE(streamed_answer_is_complete_in_any_interleaving_with_the_drain)
{
    constexpr std::size_t small = 20;
    constexpr std::size_t more_than_buffers = 300'000; // fills the socket buffers
    const stream_case cases[] = {{small, true, false},
                                 {small, true, true},
                                 {small, false, false},
                                 {more_than_buffers, true, false},
                                 {more_than_buffers, true, true},
                                 {more_than_buffers, false, false}};
    for (const auto& params : cases) {
        for (const auto& order : all_orders(params.piece_bytes == small ? "TTDDR" : "TDDR")) {
            draining_server server{params};
            BOOST_REQUIRE(server.started());
            for (const char step : order) {
                server.step(step);
            }
            BOOST_REQUIRE_MESSAGE(server.finish(), order << ": the drain does not end");
            BOOST_REQUIRE_MESSAGE(server.answer_complete(2),
                                  order << ": the caller's answer is incomplete, with "
                                        << params.piece_bytes << " bytes per piece");
        }
    }
}

/// Connects and sends `text` without waiting for an answer. Returns the descriptor.
int send_bytes(const net::endpoint& address, std::string_view text)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    to.sin_addr.s_addr = address.ip;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
        (void)::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    }
    return fd;
}

int send_request(const net::endpoint& address, const std::string& target)
{
    return send_bytes(address, "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
}

// Guards against a host that lets those who came last go first once it has its configuration.
BOOST_AUTO_TEST_CASE(held_requests_are_released_oldest_first)
{
    net::poller poller;
    fake_scheduler timers;
    bool ready = false;
    std::string order;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&order](const incoming_request& request) {
                                     order += request.head.target;
                                     return nullptr;
                                 },
                             .may_handle = [&ready] { return ready; },
                             .max_hold_time = millis{60'000}});
    std::vector<int> callers;
    for (const auto* target : {"/a", "/b", "/c", "/d", "/e", "/f"}) {
        callers.push_back(send_request(address, target));
        run_main_loop();
        timers.run_for(millis{1});
    }
    BOOST_TEST(order.empty());
    ready = true;
    server->release_held();
    run_main_loop();
    BOOST_TEST(order == "/a/b/c/d/e/f");
    for (const int fd : callers) {
        ::close(fd);
    }
}

// Guards against a caller that fills the host's memory while its request is in flight, and against
// a connection that is never read again after that.
BOOST_AUTO_TEST_CASE(endless_bytes_behind_a_request_are_not_read_before_its_answer)
{
    net::poller poller;
    fake_scheduler timers;
    std::shared_ptr<gateway::caller_port> answer;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&answer](const incoming_request& request) {
                                     answer = request.answer;
                                     return nullptr;
                                 }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(answer);
    ::fcntl(caller, F_SETFL, O_NONBLOCK);
    const std::string block(std::size_t{1} << 20U, 'x');
    const auto fill = [&] {
        std::size_t out = 0;
        for (ssize_t n = 1; n > 0; out += static_cast<std::size_t>(std::max<ssize_t>(n, 0))) {
            n = ::send(caller, block.data(), block.size(), MSG_NOSIGNAL);
        }
        run_main_loop();
        return out;
    };
    std::size_t last = 1;
    for (int n = 0; n < 50 && last > 0; ++n) {
        last = fill();
    }
    BOOST_TEST(last == 0U);
    answer->respond(http1::response_head{.status = 200}, "ok");
    answer.reset();
    run_main_loop();
    BOOST_TEST(fill() > 0U);
    ::close(caller);
}

// Guards against closing a connection as idle whose next request has arrived and is still unread,
// as after a pause of the process.
BOOST_AUTO_TEST_CASE(connection_with_an_unread_request_is_not_closed_as_idle)
{
    net::poller poller;
    fake_scheduler timers;
    std::vector<std::shared_ptr<gateway::caller_port>> answers;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&answers](const incoming_request& request) {
                                     answers.push_back(request.answer);
                                     return nullptr;
                                 }});
    const int caller = send_request(address, "/first");
    run_main_loop();
    BOOST_REQUIRE(answers.size() == 1U);
    answers.back()->respond(http1::response_head{.status = 200}, "ok");
    run_main_loop();
    constexpr std::string_view next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(::send(caller, next.data(), next.size(), MSG_NOSIGNAL) > 0);
    timers.run_for(gateway::caller_limits{}.idle_timeout + millis{1});
    server->close_idle();
    run_main_loop();
    BOOST_TEST(answers.size() == 2U);
    BOOST_TEST(server->connections() == 1U);
    answers.clear();
    ::close(caller);
}

/// A server whose requests are answered by the test, and one caller.
class single_caller {
public:
    explicit single_caller(std::string_view requests)
        : server_{caller_server::open(poller_, timers_, [this] { return timers_.now; }, address_,
                                      {.limits = [] { return gateway::caller_limits{}; },
                                       .handle =
                                           [this](const incoming_request& request) {
                                               answers.push_back(request.answer);
                                               return nullptr;
                                           }})}
    {
        fd_ = send_bytes(address_, requests);
        run_main_loop();
    }
    ~single_caller()
    {
        answers.clear();
        close();
    }
    single_caller(const single_caller&) = delete;
    single_caller& operator=(const single_caller&) = delete;

    void end_input() const
    {
        ::shutdown(fd_, SHUT_WR);
        run_main_loop();
    }
    void begin_drain() { server_->begin_drain(); }
    /// Returns what has arrived.
    [[nodiscard]] std::string receive() const
    {
        std::array<char, 4096> buf{};
        const ssize_t n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        return {buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
    }
    void close()
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
        run_main_loop();
    }
    void respond(const std::string& body)
    {
        answers.back()->respond(http1::response_head{.status = 200}, body);
        run_main_loop();
    }
    /// Reads until the server closes the connection. Returns false if it does not, or resets it.
    bool read_to_end()
    {
        constexpr int attempts = 1000;
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
        for (int n = 0; n < attempts; ++n) {
            std::array<char, 65536> buf{};
            const ssize_t got = ::recv(fd_, buf.data(), buf.size(), 0);
            if (got >= 0) {
                received.append(buf.data(), static_cast<std::size_t>(got));
            }
            if (got == 0) {
                return true;
            }
            if (got < 0 && errno != EAGAIN) {
                return false;
            }
            run_main_loop();
        }
        return false;
    }
    [[nodiscard]] std::size_t connections() const { return server_->connections(); }

    std::vector<std::shared_ptr<gateway::caller_port>> answers; ///< of the requests, in order
    std::string received;

private:
    net::poller poller_;
    fake_scheduler timers_;
    net::endpoint address_ = unused_address();
    std::unique_ptr<caller_server> server_;
    int fd_ = -1;
};

constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view whole_get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against a caller without an answer because it ended its input after its request.
BOOST_AUTO_TEST_CASE(caller_that_ends_its_input_after_a_request_gets_its_answer)
{
    for (const std::string_view request :
         {whole_get, std::string_view{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"}}) {
        single_caller it{request};
        it.end_input();
        BOOST_REQUIRE(it.answers.size() == 1U);
        BOOST_TEST(!it.answers.back()->is_closed());
        it.respond("whole");
        BOOST_TEST(it.read_to_end());
        BOOST_TEST(it.received.starts_with(interim));
        BOOST_TEST(it.received.ends_with("\r\n\r\nwhole"));
        BOOST_TEST(it.received.find("Connection: close") != std::string::npos);
        BOOST_TEST(it.connections() == 0U);
    }
}

// Guards against a stream that is resumed on another backend server for a caller that has left it.
BOOST_AUTO_TEST_CASE(caller_that_ends_its_input_inside_a_streamed_answer_is_taken_for_gone)
{
    single_caller it{whole_get};
    it.answers.back()->begin(http1::response_head{.status = 200});
    it.answers.back()->piece("first");
    run_main_loop();
    it.end_input();
    BOOST_TEST(it.answers.back()->is_closed());
    BOOST_TEST(it.connections() == 0U);
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(!it.received.ends_with(http1::last_chunk));
}

// Guards against truncating a streamed answer to a caller that ended its input before it began.
BOOST_AUTO_TEST_CASE(caller_that_ends_its_input_before_a_streamed_answer_gets_all_of_it)
{
    single_caller it{whole_get};
    it.end_input();
    it.answers.back()->begin(http1::response_head{.status = 200});
    it.answers.back()->piece("first");
    run_main_loop();
    it.answers.back()->piece("second");
    it.answers.back()->end();
    run_main_loop();
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.find("first") < it.received.find("second"));
    BOOST_TEST(it.received.ends_with(http1::last_chunk));
}

// Guards against a malformed request that gets no answer because it came with the one before.
BOOST_AUTO_TEST_CASE(malformed_request_behind_another_one_is_answered)
{
    single_caller it{std::string{whole_get} + "no request\r\n\r\n"};
    it.respond("first");
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.find("HTTP/1.1 400") != std::string::npos);
}

// Guards against dropping the unsent part of a large answer at the end of the caller's input.
BOOST_AUTO_TEST_CASE(large_answer_is_complete_after_the_end_of_the_callers_input)
{
    constexpr std::size_t size = std::size_t{16} << 20U; // fills the socket buffers
    single_caller it{whole_get};
    it.respond(std::string(size, 'x'));
    it.end_input();
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.size() > size);
    BOOST_TEST(it.connections() == 0U);
}

// Guards against answering only the first of several requests that precede the end of the input.
BOOST_AUTO_TEST_CASE(requests_sent_together_before_the_end_of_the_input_are_all_answered)
{
    single_caller it{std::string{whole_get} + std::string{whole_get} + "GET / HT"};
    it.end_input();
    it.respond("first");
    BOOST_REQUIRE(it.answers.size() == 2U);
    it.respond("second");
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.find("first") < it.received.find("second"));
    BOOST_TEST(it.received.ends_with("second"));
    BOOST_TEST(it.connections() == 0U);
}

// Guards against dropping requests that were read together when their host drains.
BOOST_AUTO_TEST_CASE(requests_sent_together_before_a_drain_are_all_answered)
{
    single_caller it{std::string{whole_get} + std::string{whole_get} + "GET / HT"};
    it.begin_drain();
    it.respond("first");
    BOOST_REQUIRE(it.answers.size() == 2U);
    BOOST_TEST(it.receive().find("Connection: close") == std::string::npos);
    it.respond("second");
    const std::string second = it.receive();
    BOOST_TEST(second.find("Connection: close") != std::string::npos);
    BOOST_TEST(second.ends_with("second"));
}

// Guards against a drain that requests which wait for admission do not learn of.
BOOST_AUTO_TEST_CASE(waiting_request_is_answered_503_when_the_drain_begins)
{
    one_gateway it;
    it.asked_tokens = 1000;
    site_config config = it.table->config();
    config.services.front().engine = engine_spec{};
    it.table = std::make_shared<const route_table>(config);
    for (const auto* const id : {"b1", "b2", "b3"}) {
        it.balancer.set_remote_load(id, {1, 400});
    }
    net::poller poller;
    const auto address = unused_address();
    const auto server =
        caller_server::open(poller, it.timers, [&] { return it.timers.now; }, address,
                            {.limits = [] { return caller_limits{}; },
                             .handle =
                                 [&](const incoming_request& request) {
                                     caller_request asked;
                                     asked.id = "q";
                                     asked.prompt_tokens = it.asked_tokens;
                                     asked.arrived = it.timers.now;
                                     return std::make_unique<exchange>(
                                         it.services, *request.answer, std::move(asked), it.table,
                                         it.table->config().routes.front(), nullptr);
                                 }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(it.admission.waiting()["app"] == 1U);
    it.services.drain_end = it.timers.now + millis{1};
    server->begin_drain();
    run_main_loop();
    std::array<char, 4096> buf{};
    const ssize_t n = ::recv(caller, buf.data(), buf.size(), MSG_DONTWAIT);
    const std::string answer{buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(it.backends.attempts.empty());
    ::close(caller);
}

// Guards against an interim response to a caller whose protocol version has none.
BOOST_AUTO_TEST_CASE(half_closed_caller_of_http_1_0_gets_no_interim_response)
{
    single_caller it{"GET / HTTP/1.0\r\n\r\n"};
    it.end_input();
    it.respond("whole");
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(it.received.ends_with("whole"));
}

// Guards against work for a caller that has closed its connection.
BOOST_AUTO_TEST_CASE(request_of_a_caller_that_closed_its_connection_is_given_up)
{
    single_caller waiting{whole_get};
    waiting.close();
    BOOST_TEST(waiting.answers.back()->is_closed());
    BOOST_TEST(waiting.connections() == 0U);
    single_caller streaming{whole_get};
    streaming.answers.back()->begin(http1::response_head{.status = 200});
    streaming.close();
    streaming.answers.back()->piece("first");
    run_main_loop();
    BOOST_TEST(streaming.answers.back()->is_closed());
    BOOST_TEST(streaming.connections() == 0U);
}

// Guards against chunks and kept connections for callers of HTTP/1.0, which know neither, and
// against an answer that looks complete to them although it was broken off.
BOOST_AUTO_TEST_CASE(streamed_answer_to_http_1_0_ends_with_its_connection)
{
    constexpr std::string_view get = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
    for (const bool complete : {true, false}) {
        single_caller it{get};
        BOOST_REQUIRE(it.answers.size() == 1U);
        const auto answer = it.answers.back();
        answer->begin(http1::response_head{.status = 200});
        answer->piece("one ");
        run_main_loop();
        answer->piece("two");
        complete ? answer->end() : answer->break_off();
        BOOST_TEST(it.read_to_end() == complete);
        BOOST_TEST(it.received.find("Transfer-Encoding") == std::string::npos);
        BOOST_TEST(it.received.find("Connection: close") != std::string::npos);
        BOOST_TEST(it.received.find("\r\n\r\none ") != std::string::npos);
        BOOST_TEST((!complete || it.received.ends_with("one two")));
    }
}

// Guards against a connection that stays open because its request never becomes complete.
BOOST_AUTO_TEST_CASE(connection_that_ends_inside_a_request_is_closed)
{
    single_caller it{"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"};
    it.end_input();
    BOOST_TEST(it.read_to_end());
    BOOST_TEST(it.received.empty());
    BOOST_TEST(it.connections() == 0U);
}

// Guards against an overloaded host that reads what it cannot serve.
BOOST_AUTO_TEST_CASE(new_connection_is_closed_unread_while_the_host_is_overloaded)
{
    net::poller poller;
    fake_scheduler timers;
    std::size_t requests = 0;
    std::string reason;
    const net::endpoint address = unused_address();
    // Each turn is too long to read a connection, so that one is read in 600 ms.
    const gateway::accept_queue_settings settings{.max_turn = millis{0},
                                                  .max_pause = millis{600},
                                                  .late_after = millis{100},
                                                  .max_wait = millis{250}};
    const auto server = caller_server::open(
        poller, timers, [&timers] { return timers.now; }, address,
        {.limits = [] { return gateway::caller_limits{}; },
         .handle =
             [&requests](const incoming_request&) {
                 ++requests;
                 return nullptr;
             },
         .accept_queue = settings,
         .max_connections = 3,
         .connection_refused = [&reason](std::string_view why) { reason = why; }});
    const auto run_turns = [] {
        constexpr int turns = 20; // a connection that is not read asks for another turn
        for (int n = 0; n < turns; ++n) {
            g_main_context_iteration(nullptr, FALSE);
        }
    };
    const auto connect_and_ask = [&] {
        const int fd = send_request(address, "/");
        run_turns();
        return fd;
    };
    const int first = connect_and_ask();
    BOOST_TEST(requests == 1U);
    const int second = connect_and_ask();
    const int refused = connect_and_ask();
    BOOST_TEST(requests == 1U);
    BOOST_TEST(reason.empty());
    for (int n = 0; n < 6; ++n) {
        timers.run_for(millis{100});
        run_turns();
    }
    BOOST_TEST(requests == 2U);
    BOOST_TEST(reason == "overloaded");
    timers.run_for(millis{4000});
    run_turns();
    const int accepted = connect_and_ask();
    BOOST_TEST(requests == 3U);
    const int above = connect_and_ask();
    BOOST_TEST(requests == 3U);
    BOOST_TEST(reason == "too many connections");
    for (const int fd : {first, second, refused, accepted, above}) {
        ::close(fd);
    }
}

// Guards against reading bodies that there is no memory for, and against memory that is not
// returned after such a request or its connection has ended.
BOOST_AUTO_TEST_CASE(request_whose_body_has_no_room_is_rejected_before_it_is_read)
{
    constexpr std::size_t limit = std::size_t{64} << 10U;
    net::poller poller;
    fake_scheduler timers;
    std::size_t handled = 0;
    std::vector<std::string> rejected;
    std::shared_ptr<gateway::caller_port> answer;
    const auto budget = std::make_shared<gateway::buffer_budget>(limit);
    const net::endpoint address = unused_address();
    const auto server = caller_server::open(
        poller, timers, [&timers] { return timers.now; }, address,
        {.limits = [] { return gateway::caller_limits{}; },
         .handle =
             [&](const incoming_request& request) {
                 ++handled;
                 answer = request.answer;
                 return nullptr;
             },
         .request_buffers = budget,
         .request_rejected =
             [&rejected](const http1::request_head& head) { rejected.push_back(head.target); }});
    const auto upload = [&](const std::string& target, std::size_t length, std::size_t sent) {
        return send_bytes(address, "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                       std::to_string(length) + "\r\n\r\n" +
                                       std::string(sent, 'x'));
    };
    const auto status_of = [](int fd) {
        std::array<char, 12> buf{};
        const ssize_t n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        return n > 0 ? std::string{buf.data(), static_cast<std::size_t>(n)} : std::string{};
    };
    const int large = upload("/large", limit * 2, 1);
    run_main_loop();
    BOOST_TEST(rejected == std::vector<std::string>{"/large"});
    BOOST_TEST(status_of(large) == "HTTP/1.1 503");
    BOOST_TEST(budget->used() < 100U);
    const int held = upload("/held", 40'000, 39'999);
    run_main_loop();
    BOOST_TEST(budget->used() >= 39'999U);
    const int second = upload("/second", 40'000, 1);
    const int small = upload("/small", 5, 5);
    run_main_loop();
    BOOST_TEST(rejected.back() == "/second");
    BOOST_TEST(handled == 1U);
    answer->respond(gateway::gateway_response(200), {});
    ::close(held);
    run_main_loop();
    BOOST_TEST(budget->used() < limit / 2);
    const int third = upload("/third", 30'000, 30'000);
    run_main_loop();
    BOOST_TEST(handled == 2U);
    for (const int fd : {large, second, small, third}) {
        ::close(fd);
    }
    run_main_loop();
    BOOST_TEST(rejected.size() == 2U);
}

// Guards against a process that crashes at its exit because a call is unanswered.
BOOST_AUTO_TEST_CASE(answer_may_outlive_its_server)
{
    net::poller poller;
    fake_scheduler timers;
    std::shared_ptr<gateway::caller_port> answer;
    const net::endpoint address = unused_address();
    auto server = caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                                      {.limits = [] { return gateway::caller_limits{}; },
                                       .handle =
                                           [&answer](const incoming_request& request) {
                                               answer = request.answer;
                                               return nullptr;
                                           }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(answer);
    server.reset();
    BOOST_TEST(answer->is_closed());
    answer->respond(gateway::gateway_response(200), {});
    answer.reset();
    run_main_loop();
    ::close(caller);
}

// Guards against an answer that stops for ever: a backend server is read again only after the
// socket has refused bytes and then taken them.
BOOST_AUTO_TEST_CASE(bytes_above_the_smallest_allowance_have_been_refused_by_the_socket)
{
    constexpr std::size_t allowance = gateway::exchange_settings{}.min_answer_bytes;
    net::poller poller;
    fake_scheduler timers;
    std::shared_ptr<gateway::caller_port> answer;
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&answer](const incoming_request& request) {
                                     answer = request.answer;
                                     return nullptr;
                                 }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(answer);
    http1::response_head head;
    head.status = 200;
    answer->begin(std::move(head));
    answer->piece(std::string(allowance + 1, 'x'));
    BOOST_TEST(answer->unsent() == 0U);
    answer->end();
    answer.reset();
    run_main_loop();
    ::close(caller);
}

// Guards against use of a server that has ended by the turn in which its last answer is flushed.
BOOST_AUTO_TEST_CASE(answer_that_is_complete_may_outlive_its_server)
{
    net::poller poller;
    fake_scheduler timers;
    std::shared_ptr<gateway::caller_port> answer;
    const net::endpoint address = unused_address();
    auto server = caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                                      {.limits = [] { return gateway::caller_limits{}; },
                                       .handle =
                                           [&answer](const incoming_request& request) {
                                               answer = request.answer;
                                               return nullptr;
                                           }});
    const int caller = send_request(address, "/");
    run_main_loop();
    BOOST_REQUIRE(answer);
    answer->respond(gateway::gateway_response(200), {});
    server.reset();
    run_main_loop();
    BOOST_TEST(answer->is_closed());
    answer.reset();
    ::close(caller);
}

// Guards against a few large requests in flight that appear to use up the memory, so that others
// are rejected.
BOOST_AUTO_TEST_CASE(request_in_flight_accounts_for_its_bytes_and_not_for_spare_capacity)
{
    constexpr std::size_t length = 140'000; // read in several pieces, so that the body grows
    net::poller poller;
    fake_scheduler timers;
    std::shared_ptr<gateway::caller_port> answer;
    const auto budget = std::make_shared<gateway::buffer_budget>(std::size_t{1} << 20U);
    const net::endpoint address = unused_address();
    const auto server =
        caller_server::open(poller, timers, [&timers] { return timers.now; }, address,
                            {.limits = [] { return gateway::caller_limits{}; },
                             .handle =
                                 [&answer](const incoming_request& request) {
                                     answer = request.answer;
                                     return nullptr;
                                 },
                             .request_buffers = budget});
    const std::string head =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    const int caller = send_bytes(address, head);
    const std::string piece(length / 10, 'x');
    for (int n = 0; n < 10; ++n) {
        BOOST_REQUIRE(::send(caller, piece.data(), piece.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(piece.size()));
        run_main_loop();
    }
    BOOST_REQUIRE(answer);
    BOOST_TEST(budget->used() >= length);
    BOOST_TEST(budget->used() <= 2 * length + 1'000);
    answer.reset();
    ::close(caller);
    run_main_loop();
}

BOOST_AUTO_TEST_SUITE_END()

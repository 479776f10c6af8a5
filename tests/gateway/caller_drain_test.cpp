/// Interleavings of a streamed answer with the steps of a host's drain, over real sockets.

#include "single_caller.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <poll.h>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

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

BOOST_AUTO_TEST_SUITE_END()

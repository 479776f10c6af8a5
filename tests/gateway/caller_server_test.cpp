/// A caller's connection and the steps of a stopping host, in all orders, over real sockets.

#include "gateway/caller_server.h"

#include "fakes.h"
#include "loopback_listener.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <poll.h>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

net::endpoint free_address()
{
    return loopback_listener{}.address();
}

struct variant {
    std::size_t piece_bytes = 0;
    bool drains_before_head = false; ///< the answer bears `Connection: close`
    bool sends_more = false;         ///< the caller sends bytes after its request
};

/// One caller that waits for a stream, and the host that is about to stop.
class stopping_host {
public:
    explicit stopping_host(variant how) : how_{how}, piece_(how.piece_bytes, 'x')
    {
        const net::endpoint at = free_address();
        server_ = caller_server::open(poller_, timers_, [] { return instant{}; }, at,
                                      {[] { return gateway::caller_limits{}; },
                                       [this](const incoming_request& it) {
                                           port_ = it.answer;
                                           return nullptr;
                                       }});
        connect(at);
        turn_main_loop();
        if (how_.drains_before_head) {
            server_->begin_drain();
        }
        if (port_) {
            http1::response_head head;
            head.status = 200;
            port_->begin(std::move(head));
        }
        if (how_.sends_more) {
            send("GET /next HTTP/1.1\r\n");
        }
        if (!how_.drains_before_head) {
            server_->begin_drain();
        }
    }
    ~stopping_host() { ::close(fd_); }
    stopping_host(const stopping_host&) = delete;
    stopping_host& operator=(const stopping_host&) = delete;

    /// `P` a piece, `E` the end, `T` a turn of the main loop, `D` a step of the drain, `R` the
    /// caller reads.
    void step(char what)
    {
        switch (what) {
        case 'P':
            port_->piece(piece_);
            break;
        case 'E':
            port_->end();
            port_.reset();
            break;
        case 'T':
            turn_main_loop();
            break;
        case 'D':
            drain_step();
            break;
        default:
            read();
            break;
        }
    }
    /// Lets host and caller go on until the host has exited.
    bool finish()
    {
        constexpr int max_turns = 10'000;
        for (int n = 0; n < max_turns && server_; ++n) {
            turn_main_loop();
            pollfd more{fd_, POLLIN, 0};
            ::poll(&more, over_ ? 0 : 1, 1);
            read();
            drain_step();
        }
        read();
        return server_ == nullptr;
    }
    [[nodiscard]] bool whole(std::size_t pieces) const
    {
        return !reset_ && got_.size() > pieces * how_.piece_bytes &&
               got_.ends_with(http1::last_chunk);
    }
    [[nodiscard]] bool started() const { return port_ != nullptr; }

private:
    void connect(const net::endpoint& at)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (how_.piece_bytes > 1000) {
            constexpr int small = 4096;
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        }
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(at.port);
        to.sin_addr.s_addr = at.ip;
        if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
            send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        }
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    void send(std::string_view text) const
    {
        (void)::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    /// As a host that has received SIGTERM does, once no new callers come.
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
        while (!over_) {
            const ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
            if (n > 0) {
                got_.append(buf.data(), static_cast<std::size_t>(n));
                continue;
            }
            if (n < 0 && errno == EAGAIN) {
                return;
            }
            over_ = true;
            reset_ = n < 0;
            // The caller closes once the answer has ended.
            ::shutdown(fd_, SHUT_RDWR);
        }
    }

    variant how_;
    std::string piece_;
    net::poller poller_;
    fake_scheduler timers_; ///< never runs: nothing waits within a test
    std::unique_ptr<caller_server> server_;
    std::shared_ptr<gateway::caller_port> port_;
    int fd_ = -1;
    std::string got_;
    bool over_ = false;
    bool reset_ = false;
};

/// The orders in which two pieces and the end of a stream meet the other steps.
std::vector<std::string> all_orders(const std::string& others)
{
    std::vector<std::string> out;
    std::string marks = others + "SSS"; // the stream's own steps, in their order
    std::sort(marks.begin(), marks.end());
    do {
        std::string order = marks;
        for (const char it : {'P', 'P', 'E'}) {
            order[order.find('S')] = it;
        }
        out.push_back(std::move(order));
    } while (std::next_permutation(marks.begin(), marks.end()));
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_server_suite)

// Guards against a stream that loses its end because its host stops at that moment.
BOOST_AUTO_TEST_CASE(stream_is_whole_in_any_order_of_its_end_and_the_drain)
{
    constexpr std::size_t small = 20;
    constexpr std::size_t more_than_buffers = 300'000;
    const variant variants[] = {{small, true, false},
                                {small, true, true},
                                {small, false, false},
                                {more_than_buffers, true, false},
                                {more_than_buffers, true, true},
                                {more_than_buffers, false, false}};
    for (const auto& how : variants) {
        for (const auto& order : all_orders(how.piece_bytes == small ? "TTDDR" : "TDDR")) {
            stopping_host it{how};
            BOOST_REQUIRE(it.started());
            for (const char step : order) {
                it.step(step);
            }
            BOOST_REQUIRE_MESSAGE(it.finish(), order << ": the host does not stop");
            BOOST_REQUIRE_MESSAGE(it.whole(2), order << ": the caller's answer is not whole, with "
                                                     << how.piece_bytes << " bytes a piece");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

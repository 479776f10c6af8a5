#pragma once
/// A server for callers and callers of it, over real sockets, in one thread.

#include "fakes.h"
#include "gateway/caller_server.h"
#include "loopback_listener.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hickorypost::testing {

/// A free port of a loopback address that no other call returns: the connections of thousands of
/// cases stay in TIME-WAIT and would use up the ports of a shared one.
inline net::endpoint unused_address()
{
    constexpr std::uint32_t first = 0x7F640001; // 127.100.0.1
    static std::uint32_t calls = 0;
    return loopback_listener{first + calls++}.address();
}

/// Connects and sends `text` without waiting for an answer. Returns the descriptor.
inline int send_bytes(const net::endpoint& address, std::string_view text)
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

inline int send_request(const net::endpoint& address, const std::string& target)
{
    return send_bytes(address, "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
}

/// A server whose requests are answered by the test, and one caller.
class single_caller {
public:
    using budget = std::shared_ptr<gateway::buffer_budget>;

    /// Sends `requests`; `buffers` limit what the server may hold of requests and of answers.
    explicit single_caller(std::string_view requests, budget request_buffers = no_limit(),
                           budget answer_buffers = no_limit())
        : server_{caller_server::open(poller_, timers_, [this] { return timers_.now; }, address_,
                                      {.limits = [] { return gateway::caller_limits{}; },
                                       .handle =
                                           [this](const incoming_request& request) {
                                               answers.push_back(request.answer);
                                               return nullptr;
                                           },
                                       .request_buffers = std::move(request_buffers),
                                       .answer_buffers = std::move(answer_buffers)})}
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

    void send(std::string_view bytes) const
    {
        (void)::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        run_main_loop();
    }
    void end_server() { server_.reset(); }
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
    /// Returns what `confirm_waiting` of the last request finds.
    bool confirm_last()
    {
        constexpr millis limit{900};
        constexpr millis step{1};
        std::optional<bool> out;
        answers.back()->confirm_waiting(limit, [&out](bool waits) { out = waits; });
        for (millis waited{0}; !out && waited < 2 * limit; waited += step) {
            run_main_loop();
            // The caller's system may delay its acknowledgement.
            std::this_thread::sleep_for(step);
            timers_.run_for(step);
        }
        BOOST_REQUIRE(out.has_value());
        return *out;
    }

    std::vector<std::shared_ptr<gateway::caller_port>> answers; ///< of the requests, in order
    std::string received;

private:
    static budget no_limit() { return std::make_shared<gateway::buffer_budget>(0); }

    net::poller poller_;
    fake_scheduler timers_;
    net::endpoint address_ = unused_address();
    std::unique_ptr<caller_server> server_;
    int fd_ = -1;
};

} // namespace hickorypost::testing

#pragma once

#include "loopback_listener.h"

#include "hickorypost/net/timer.h"

#include <array>
#include <chrono>
#include <functional>
#include <string>

namespace hickorypost::testing {

/// How a server ends a connection.
enum class connection_end : std::uint8_t { fin, reset };

inline const char* name_of(connection_end it)
{
    return it == connection_end::fin ? "FIN" : "reset";
}

/// Sends fixed bytes on each connection as soon as a request arrives on it, and ends it.
class raw_server {
public:
    raw_server(std::string bytes, connection_end how) : bytes_{std::move(bytes)}, how_{how} {}
    ~raw_server() { close_open(); }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return listener_.address().port; }

    /// Runs the main loop and the server until `condition` holds. Returns false after 10 s.
    bool run_until(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        const auto tick = net::timer::every(millis{1}, [this] { serve(); });
        while (!condition() && std::chrono::steady_clock::now() < end) {
            g_main_context_iteration(nullptr, TRUE);
        }
        return condition();
    }

private:
    void serve()
    {
        if (open_ < 0) {
            open_ = listener_.accept();
        }
        std::array<char, 4096> request{};
        if (open_ < 0 || ::recv(open_, request.data(), request.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
        ::send(open_, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
        close_open();
    }

    void close_open()
    {
        if (open_ < 0) {
            return;
        }
        if (how_ == connection_end::reset) {
            const linger at_once{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(open_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        ::close(open_);
        open_ = -1;
    }

    loopback_listener& listener_ = shared_listener();
    std::string bytes_;
    connection_end how_;
    int open_ = -1;
};

} // namespace hickorypost::testing

#include "deployment.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace hickorypost::testing {

namespace {

constexpr int poll_ms = 20;
constexpr int delay_ms = 60;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

} // namespace

struct relay::state {
    struct connection {
        int client = -1;
        int server = -1;
        bool stalled = false;
    };
    int listener = -1;
    std::atomic<std::uint16_t> to{0};
    std::vector<connection> connections;
    std::atomic<bool> stall_open{false};
    std::atomic<relay_fault> fault{relay_fault::none};
    std::jthread thread;

    static bool forward(int from, int to)
    {
        std::array<char, 65536> buf{};
        const ssize_t n = ::recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        for (ssize_t sent = 0; sent < n;) {
            const ssize_t m =
                ::send(to, buf.data() + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
            if (m <= 0) {
                return false;
            }
            sent += m;
        }
        return n > 0;
    }

    /// Forwards from one side to the other. While the direction is held back (`events` is 0), reads
    /// nothing and does not propagate a close.
    static bool forward_if_ready(const pollfd& ready, int from, int to)
    {
        return ready.events == 0 || ready.revents == 0 || forward(from, to);
    }

    void close_all()
    {
        for (const auto& it : connections) {
            ::close(it.client);
            ::close(it.server);
        }
        connections.clear();
    }

    void accept_one()
    {
        const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(to);
        if (client < 0 ||
            ::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(client);
            ::close(server);
            return;
        }
        connections.push_back({client, server, false});
    }

    void run(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            if (stall_open.exchange(false)) {
                for (auto& it : connections) {
                    it.stalled = true;
                }
            }
            const relay_fault now = fault;
            if (now == relay_fault::reset_all) {
                fault = relay_fault::none;
                close_all();
            }
            if (now == relay_fault::delay) {
                ::poll(nullptr, 0, delay_ms);
            }
            std::vector<pollfd> fds{{listener, POLLIN, 0}};
            for (const auto& it : connections) {
                const bool held = it.stalled || now == relay_fault::silence;
                const short request_events = held ? 0 : POLLIN;
                const short response_events = held || now == relay_fault::one_way ? 0 : POLLIN;
                fds.push_back({it.client, request_events, 0});
                fds.push_back({it.server, response_events, 0});
            }
            ::poll(fds.data(), fds.size(), poll_ms);
            for (std::size_t n = 0; n < connections.size(); ++n) {
                auto& it = connections[n];
                if (it.stalled || it.client < 0) {
                    continue;
                }
                const bool good = forward_if_ready(fds[1 + 2 * n], it.client, it.server) &&
                                  forward_if_ready(fds[2 + 2 * n], it.server, it.client);
                if (!good) {
                    ::close(it.client);
                    ::close(it.server);
                    it.client = it.server = -1;
                }
            }
            if ((fds[0].revents & POLLIN) != 0) {
                accept_one();
            }
            std::erase_if(connections, [](const auto& it) { return it.client < 0; });
        }
        close_all();
        ::close(listener);
    }
};

relay::relay(std::uint16_t listen, std::uint16_t to) : state_{std::make_unique<state>()}
{
    state_->to = to;
    state_->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(state_->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(listen);
    if (::bind(state_->listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(state_->listener, SOMAXCONN) != 0) {
        std::abort();
    }
    state_->thread =
        std::jthread{[raw = state_.get()](const std::stop_token& it) { raw->run(it); }};
}

relay::~relay() = default;

std::uint16_t relay::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(state_->listener, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void relay::set_target(std::uint16_t to)
{
    state_->to = to;
}

void relay::set_fault(relay_fault fault)
{
    state_->fault = fault;
}

void relay::stall_open_connections()
{
    state_->stall_open = true;
}

} // namespace hickorypost::testing

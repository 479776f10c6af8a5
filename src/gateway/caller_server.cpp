#include "gateway/caller_server.h"

#include "gateway/caller_connection.h"

#include <vector>

namespace hickorypost {

caller_server::caller_server(net::poller& on, gateway::scheduler& timers, clock_fn now, options how)
    : poller_{on}, timers_{timers}, now_{std::move(now)}, options_{std::move(how)}
{
}

caller_server::~caller_server()
{
    listener_.reset();
    const auto all = std::exchange(connections_, {});
    for (const auto& [raw, it] : all) {
        it->close();
    }
}

std::unique_ptr<caller_server> caller_server::open(net::poller& on, gateway::scheduler& timers,
                                                   clock_fn now, const net::endpoint& at,
                                                   options how)
{
    std::unique_ptr<caller_server> out{
        new caller_server{on, timers, std::move(now), std::move(how)}};
    out->listener_ =
        net::tcp_listener::open(on, at, [raw = out.get()](int fd) { raw->accept(fd); });
    return out->listener_ ? std::move(out) : nullptr;
}

void caller_server::accept(int fd)
{
    auto it = std::make_shared<caller_connection>(*this, fd);
    connections_.emplace(it.get(), it);
    it->start();
}

void caller_server::release_held()
{
    std::vector<std::shared_ptr<caller_connection>> held;
    for (const auto& [raw, it] : connections_) {
        if (it->held()) {
            held.push_back(it);
        }
    }
    for (const auto& it : held) {
        it->dispatch();
    }
}

void caller_server::finish_requests()
{
    std::vector<std::shared_ptr<caller_connection>> busy;
    for (const auto& [raw, it] : connections_) {
        if (it->busy()) {
            busy.push_back(it);
        }
    }
    for (const auto& it : busy) {
        it->finish_request();
    }
}

void caller_server::close_idle()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto& [raw, it] : connections_) {
        if (it->idle()) {
            idle.push_back(it);
        }
    }
    for (const auto& it : idle) {
        it->close();
        connections_.erase(it.get());
    }
}

std::size_t caller_server::in_flight() const
{
    std::size_t out = 0;
    for (const auto& [raw, it] : connections_) {
        out += it->busy() ? 1 : 0;
    }
    return out;
}

std::size_t caller_server::owing() const
{
    std::size_t out = 0;
    for (const auto& [raw, it] : connections_) {
        out += it->owes_answer() ? 1 : 0;
    }
    return out;
}

std::size_t caller_server::unsent_bytes() const
{
    std::size_t out = 0;
    for (const auto& [raw, it] : connections_) {
        out += it->unsent();
    }
    return out;
}

} // namespace hickorypost

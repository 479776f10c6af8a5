#include "gateway/caller_server.h"

#include "gateway/caller_connection.h"

#include <unistd.h>
#include <vector>

namespace hickorypost {

caller_server::caller_server(net::poller& poller, gateway::scheduler& timers, clock_fn now,
                             options opts)
    : poller_{poller}, timers_{timers}, now_{std::move(now)}, options_{std::move(opts)}
{
}

caller_server::~caller_server()
{
    listener_.reset();
    const auto all = std::exchange(connections_, {});
    for (const auto& [key, connection] : all) {
        connection->close();
    }
}

std::unique_ptr<caller_server> caller_server::open(net::poller& poller, gateway::scheduler& timers,
                                                   clock_fn now, const net::endpoint& address,
                                                   options opts)
{
    std::unique_ptr<caller_server> out{
        new caller_server{poller, timers, std::move(now), std::move(opts)}};
    out->listener_ = net::tcp_listener::open(poller, address,
                                             [server = out.get()](int fd) { server->accept(fd); });
    return out->listener_ ? std::move(out) : nullptr;
}

std::string_view caller_server::find_refusal() const
{
    if (options_.max_connections > 0 && connections_.size() >= options_.max_connections) {
        return "too many connections";
    }
    return options_.may_accept && !options_.may_accept() ? "overloaded" : "";
}

void caller_server::accept(int fd)
{
    if (const auto reason = find_refusal(); !reason.empty()) {
        ++refused_;
        ::close(fd);
        if (options_.connection_refused) {
            options_.connection_refused(reason);
        }
        return;
    }
    ++opened_;
    auto connection = std::make_shared<caller_connection>(*this, fd);
    connections_.emplace(connection.get(), connection);
    connection->start();
}

void caller_server::release_held()
{
    std::vector<std::shared_ptr<caller_connection>> held;
    for (const auto& [key, connection] : connections_) {
        if (connection->held()) {
            held.push_back(connection);
        }
    }
    for (const auto& connection : held) {
        connection->dispatch();
    }
}

std::vector<std::shared_ptr<caller_connection>> caller_server::busy_connections() const
{
    std::vector<std::shared_ptr<caller_connection>> out;
    for (const auto& [key, connection] : connections_) {
        if (connection->busy()) {
            out.push_back(connection);
        }
    }
    return out;
}

void caller_server::finish_requests()
{
    for (const auto& connection : busy_connections()) {
        connection->finish_request();
    }
}

void caller_server::suspects_changed()
{
    for (const auto& connection : busy_connections()) {
        connection->suspects_changed();
    }
}

void caller_server::close_idle()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto& [key, connection] : connections_) {
        if (connection->idle()) {
            idle.push_back(connection);
        }
    }
    for (const auto& connection : idle) {
        connection->close();
        connections_.erase(connection.get());
    }
}

std::size_t caller_server::in_flight() const
{
    std::size_t out = 0;
    for (const auto& [key, connection] : connections_) {
        out += connection->busy() ? 1 : 0;
    }
    return out;
}

std::size_t caller_server::pending_answers() const
{
    std::size_t out = 0;
    for (const auto& [key, connection] : connections_) {
        out += connection->answer_pending() ? 1 : 0;
    }
    return out;
}

std::size_t caller_server::unsent_bytes() const
{
    std::size_t out = 0;
    for (const auto& [key, connection] : connections_) {
        out += connection->unsent();
    }
    return out;
}

} // namespace hickorypost

#include "gateway/limit_feed.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace hickorypost {

namespace {

/// Minimum interval between permit requests to the coordinating host.
constexpr millis min_request_interval{20};
constexpr millis grant_period{20};

} // namespace

limit_feed::limit_feed(runtime& env, peer_mesh& mesh, gateway::backend_limits& limits,
                       std::function<node_id()> coordinator_host)
    : env_{env}, mesh_{mesh}, limits_{limits}, coordinator_host_{std::move(coordinator_host)},
      coordinator_{{}}
{
}

void limit_feed::schedule_permit_requests()
{
    if (request_timer_.armed()) {
        return;
    }
    const auto since = std::chrono::duration_cast<millis>(env_.now() - last_request_);
    request_timer_ = net::timer::once(std::max(millis{0}, min_request_interval - since),
                                      [this] { send_requests(); });
}

void limit_feed::send_requests()
{
    last_request_ = env_.now();
    wire::permit_requests out;
    for (const auto& it : limits_.take_requests()) {
        out.requests.push_back({it.backend, it.per_second, it.priority});
    }
    const node_id coordinator_host = coordinator_host_();
    if (out.requests.empty() || coordinator_host.empty()) {
        return; // a host that gets no reply reduces its own rate
    }
    if (coordinator_host == mesh_.self()) {
        handle_requests(coordinator_host, out);
    } else {
        mesh_.send(coordinator_host, out);
    }
}

void limit_feed::handle_requests(const node_id& from, const wire::permit_requests& requests)
{
    if (coordinator_host_() != mesh_.self()) {
        return; // this host is no longer the leader; two hosts must not grant at the same time
    }
    const instant now = env_.now();
    coordinator_.expire(now);
    wire::permit_replies out;
    for (const auto& it : requests.requests) {
        const auto answer =
            coordinator_.ask(from, {it.id, it.per_second, static_cast<int>(it.priority)}, now);
        out.replies.push_back(
            {answer.backend, answer.granted, static_cast<std::uint64_t>(answer.room_in.count())});
    }
    reply(from, out);
    schedule_grants();
}

void limit_feed::reply(const node_id& to, const wire::permit_replies& replies)
{
    if (to == mesh_.self()) {
        handle_replies(replies);
    } else {
        mesh_.send(to, replies);
    }
}

void limit_feed::handle_replies(const wire::permit_replies& replies)
{
    for (const auto& it : replies.replies) {
        limits_.replied({it.id, it.granted, millis{static_cast<std::int64_t>(it.room_in_ms)}});
    }
}

void limit_feed::schedule_grants()
{
    if (!coordinator_.idle() && !grant_timer_.armed()) {
        grant_timer_ = net::timer::every(grant_period, [this] { grant_waiting(); });
    }
}

void limit_feed::grant_waiting()
{
    std::map<node_id, wire::permit_replies> out;
    for (const auto& it : coordinator_.due(env_.now())) {
        out[it.host].replies.push_back({it.backend, true, 0});
    }
    for (const auto& [host, replies] : out) {
        reply(host, replies);
    }
    if (coordinator_.idle()) {
        grant_timer_.cancel();
    }
}

bool limit_feed::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::permit_requests:
        if (const auto it = wire::try_decode<wire::permit_requests>(body)) {
            handle_requests(from, *it);
        }
        return true;
    case wire::message_type::permit_replies:
        if (const auto it = wire::try_decode<wire::permit_replies>(body)) {
            handle_replies(*it);
        }
        return true;
    default:
        return false;
    }
}

} // namespace hickorypost

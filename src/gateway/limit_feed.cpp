#include "gateway/limit_feed.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace hickorypost {

namespace {

/// At most one message of wishes in this time.
constexpr millis ask_gap{20};
constexpr millis grant_period{20};

} // namespace

limit_feed::limit_feed(runtime& env, peer_mesh& mesh, gateway::backend_limits& limits,
                       std::function<node_id()> granter)
    : env_{env}, mesh_{mesh}, limits_{limits}, granter_{std::move(granter)}, office_{{}}
{
}

void limit_feed::ask_soon()
{
    if (ask_timer_.armed()) {
        return;
    }
    const auto since = std::chrono::duration_cast<millis>(env_.now() - asked_);
    ask_timer_ = net::timer::once(std::max(millis{0}, ask_gap - since), [this] { ask(); });
}

void limit_feed::ask()
{
    asked_ = env_.now();
    wire::permit_wishes out;
    for (const auto& it : limits_.take_wishes()) {
        out.wishes.push_back({it.backend, it.per_second, it.priority});
    }
    const node_id granter = granter_();
    if (out.wishes.empty() || granter.empty()) {
        return; // a host without an answer sends less, by itself
    }
    if (granter == mesh_.self()) {
        take_wishes(granter, out);
    } else {
        mesh_.send(granter, out);
    }
}

void limit_feed::take_wishes(const node_id& from, const wire::permit_wishes& wishes)
{
    if (granter_() != mesh_.self()) {
        return; // it has not heard of the new leader; two must not grant at once
    }
    const instant now = env_.now();
    office_.expire(now);
    wire::permit_replies out;
    for (const auto& it : wishes.wishes) {
        const auto answer =
            office_.ask(from, {it.id, it.per_second, static_cast<int>(it.priority)}, now);
        out.replies.push_back(
            {answer.backend, answer.granted, static_cast<std::uint64_t>(answer.room_in.count())});
    }
    reply(from, out);
    schedule_grants();
}

void limit_feed::reply(const node_id& to, const wire::permit_replies& replies)
{
    if (to == mesh_.self()) {
        take_replies(replies);
    } else {
        mesh_.send(to, replies);
    }
}

void limit_feed::take_replies(const wire::permit_replies& replies)
{
    for (const auto& it : replies.replies) {
        limits_.replied({it.id, it.granted, millis{static_cast<std::int64_t>(it.room_in_ms)}});
    }
}

void limit_feed::schedule_grants()
{
    if (!office_.idle() && !grant_timer_.armed()) {
        grant_timer_ = net::timer::every(grant_period, [this] { grant_due(); });
    }
}

void limit_feed::grant_due()
{
    std::map<node_id, wire::permit_replies> out;
    for (const auto& it : office_.due(env_.now())) {
        out[it.host].replies.push_back({it.backend, true, 0});
    }
    for (const auto& [host, replies] : out) {
        reply(host, replies);
    }
    if (office_.idle()) {
        grant_timer_.cancel();
    }
}

bool limit_feed::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::permit_wishes:
        if (const auto it = wire::try_decode<wire::permit_wishes>(body)) {
            take_wishes(from, *it);
        }
        return true;
    case wire::message_type::permit_replies:
        if (const auto it = wire::try_decode<wire::permit_replies>(body)) {
            take_replies(*it);
        }
        return true;
    default:
        return false;
    }
}

} // namespace hickorypost

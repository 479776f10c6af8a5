/// Elections: pre-vote, stickiness to a live leader, and the leader's lease that rests on it.

#include "hickorypost/replog/replica.h"

#include <algorithm>
#include <functional>

namespace hickorypost::replog {

namespace {

/// Spread of the first elections after a start: several round trips between hosts, so that two
/// candidates seldom split the votes.
constexpr millis early_vote_spread{200};

} // namespace

void replica::reset_election_timer(instant now)
{
    // Just after a start the first queries are lost, as the links are not up yet. Waiting out a
    // whole timeout then held all callers for 0.9 s after each loss of all hosts. Pre-vote keeps
    // the quick ones from disturbing a leader that the others hear.
    const bool early = !heard_any_leader_ && now < early_until_;
    const millis least = early ? options_.heartbeat : options_.election_min;
    const millis spread = early ? early_vote_spread : options_.election_max - options_.election_min;
    const double part = unit_random(random_) * static_cast<double>(spread.count());
    election_due_ = now + least + millis{static_cast<std::int64_t>(part)};
}

bool replica::heard_leader_recently(instant now) const
{
    // It begins with the start of the process: a replica that restarts has forgotten whom it
    // heard, and a vote at once would elect a second leader inside the first one's lease.
    return now < last_heard_leader_ + options_.election_min;
}

void replica::become_follower(std::uint64_t term, const node_id& leader, instant now)
{
    if (term > hard_.term) {
        hard_ = {term, std::nullopt};
        save_hard();
    }
    if (role_ != replica_role::fresh) {
        role_ = is_voter(self_) ? replica_role::follower : replica_role::learner;
    }
    leader_ = leader;
    votes_.clear();
    peers_.clear();
    lease_given_up_ = false;
    reset_election_timer(now);
}

void replica::start_election(bool pre_vote, bool handover, instant now)
{
    role_ = pre_vote ? replica_role::pre_candidate : replica_role::candidate;
    leader_.clear();
    votes_ = {self_};
    reset_election_timer(now);
    if (!pre_vote) {
        hard_ = {hard_.term + 1, self_};
        save_hard();
    }
    auto query = make(message_kind::vote_query);
    query.term = pre_vote ? hard_.term + 1 : hard_.term;
    query.pre_vote = pre_vote;
    query.handover = handover;
    query.prev_index = last_index();
    query.prev_term = term_at(last_index()).value_or(0);
    for (const auto& it : config_.voters) {
        if (it == self_) {
            continue;
        }
        if (pre_vote) {
            send_now(it.node, query);
        } else {
            send_after_persist(it.node, query);
        }
    }
    if (votes_.size() < quorum()) {
        return;
    }
    if (pre_vote) {
        start_election(false, false, now);
    }
    // A lone voter becomes leader once its own vote is on disk (see `persisted`).
}

void replica::handle_vote_query(const message& msg, instant now)
{
    if (role_ == replica_role::fresh) {
        return; // a fresh disk remembers no vote
    }
    // The candidate may be a member of a configuration that has not reached this replica, so it is
    // not asked whether it votes here: the longer log decides. A removed member cannot disturb a
    // live leader, as votes are refused while one is heard.
    const bool sticky = heard_leader_recently(now) || role_ == replica_role::leader;
    if (sticky && !msg.handover) {
        // The leader counts on this refusal for its lease; answering with our term is harmless.
        auto reply = make(message_kind::vote_reply);
        reply.pre_vote = msg.pre_vote;
        send_now(msg.from.node, reply);
        return;
    }
    if (!msg.pre_vote && msg.term > hard_.term) {
        become_follower(msg.term, {}, now);
    }
    const std::uint64_t own_term = term_at(last_index()).value_or(0);
    const bool up_to_date =
        msg.prev_term > own_term || (msg.prev_term == own_term && msg.prev_index >= last_index());
    const bool term_good = msg.pre_vote ? msg.term > hard_.term : msg.term == hard_.term;
    const bool free_vote = msg.pre_vote || !hard_.voted_for || hard_.voted_for == msg.from;
    const bool granted = term_good && up_to_date && free_vote && is_voter(self_);
    auto reply = make(message_kind::vote_reply);
    reply.pre_vote = msg.pre_vote;
    reply.granted = granted;
    if (granted && !msg.pre_vote) {
        hard_.voted_for = msg.from;
        save_hard();
        reset_election_timer(now);
        send_after_persist(msg.from.node, reply);
        return;
    }
    if (granted) {
        reply.term = msg.term;
    }
    send_now(msg.from.node, reply);
}

void replica::handle_vote_reply(const message& msg, instant now)
{
    if (!msg.granted) {
        if (msg.term > hard_.term) {
            become_follower(msg.term, {}, now);
        }
        return;
    }
    const bool wanted = msg.pre_vote
                            ? role_ == replica_role::pre_candidate && msg.term == hard_.term + 1
                            : role_ == replica_role::candidate && msg.term == hard_.term;
    if (!wanted || !is_voter(msg.from)) {
        return;
    }
    votes_.insert(msg.from);
    if (votes_.size() < quorum()) {
        return;
    }
    if (msg.pre_vote) {
        start_election(false, false, now);
    } else {
        become_leader(now);
    }
}

void replica::become_leader(instant now)
{
    role_ = replica_role::leader;
    leader_ = self_.node;
    lease_given_up_ = false;
    peers_.clear();
    term_start_index_ = last_index() + 1;
    append_entry({term_start_index_, hard_.term, entry_kind::no_op, 0, {}});
    rebuild_progress(now);
    broadcast(now, true);
}

std::optional<instant> replica::quorum_heard(instant own) const
{
    std::vector<instant> heard;
    for (const auto& it : config_.voters) {
        if (it == self_) {
            heard.push_back(own);
        } else if (const auto peer = peers_.find(it); peer != peers_.end()) {
            heard.push_back(peer->second.lease_from);
        } else {
            heard.push_back(instant{});
        }
    }
    if (heard.size() < quorum()) {
        return std::nullopt;
    }
    const auto nth = heard.begin() + static_cast<std::ptrdiff_t>(quorum() - 1);
    std::nth_element(heard.begin(), nth, heard.end(), std::greater<>{});
    return *nth == instant{} ? std::nullopt : std::optional{*nth};
}

bool replica::lease_valid(instant now) const
{
    if (role_ != replica_role::leader || lease_given_up_ || commit_ < term_start_index_) {
        return false;
    }
    const auto heard = quorum_heard(now);
    // Each of a quorum refuses votes for election_min after it heard this leader, by its own clock,
    // which may run ahead of ours by the drift.
    const auto held = std::chrono::duration_cast<micros>(options_.election_min).count();
    const auto safe =
        static_cast<std::int64_t>(static_cast<double>(held) * (1.0 - options_.clock_drift));
    return heard && now < *heard + micros{safe};
}

void replica::ask_confirmation(instant now)
{
    if (role_ == replica_role::leader) {
        broadcast(now, true);
    }
}

bool replica::confirmed_since(instant since) const
{
    if (role_ != replica_role::leader || commit_ < term_start_index_) {
        return false;
    }
    const auto heard = quorum_heard(instant::max());
    return heard && *heard >= since;
}

void replica::check_quorum(instant now)
{
    std::size_t alive = 0;
    for (const auto& it : config_.voters) {
        const auto peer = peers_.find(it);
        const bool heard =
            peer != peers_.end() && now < peer->second.last_answer + options_.election_max;
        alive += it == self_ || heard ? 1U : 0U;
    }
    if (alive < quorum()) {
        // Cut off from the quorum: another leader may act by now, and waiting proposers must hear.
        become_follower(hard_.term, {}, now);
    }
}

void replica::hand_over(instant now)
{
    if (role_ != replica_role::leader) {
        return;
    }
    const progress* best = nullptr;
    for (const auto& [who, peer] : peers_) {
        if (is_voter(who) && (best == nullptr || peer.match > best->match)) {
            best = &peer;
        }
    }
    if (best == nullptr) {
        return;
    }
    const node_id target = best->who.node;
    send_now(target, make(message_kind::campaign_now));
    // The successor's election passes over stickiness, so this lease must never be used again.
    become_follower(hard_.term, {}, now);
    last_heard_leader_ = now - options_.election_min;
}

} // namespace hickorypost::replog

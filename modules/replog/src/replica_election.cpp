/// Elections with pre-vote, refusal of votes while a leader is heard, and the leader lease that
/// depends on these refusals.

#include "hickorypost/replog/replica.h"

#include <algorithm>
#include <functional>

namespace hickorypost::replog {

namespace {

/// Random part of the election timeout soon after a start: several round trips between hosts, so
/// that two candidates rarely split the votes.
constexpr millis fast_election_spread{200};

} // namespace

void replica::reset_election_timer(instant now)
{
    // Just after a start the first vote requests are lost, because the links are not up yet. With
    // a full election timeout before the next attempt, all callers waited 0.9 s after each restart
    // of all hosts. Pre-vote keeps the frequent attempts from disturbing a live leader.
    const bool early = !heard_any_leader_ && now < fast_elections_until_;
    const millis least = early ? options_.heartbeat : options_.election_min;
    const millis spread =
        early ? fast_election_spread : options_.election_max - options_.election_min;
    const double part = unit_random(random_) * static_cast<double>(spread.count());
    election_due_ = now + least + millis{static_cast<std::int64_t>(part)};
}

bool replica::heard_leader_recently(instant now) const
{
    // Unless `vote_at_start` is set, `last_heard_leader_` begins as the start time of the process:
    // a restarted replica has no record of a leader that it heard, and an immediate vote could
    // elect a second leader during the lease of the first.
    return now < last_heard_leader_ + options_.election_min;
}

void replica::become_follower(std::uint64_t term, const node_id& leader, instant now)
{
    if (term > hard_state_.term) {
        hard_state_ = {term, std::nullopt};
        save_hard_state();
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
        hard_state_ = {hard_state_.term + 1, self_};
        save_hard_state();
    }
    auto query = make_message(message_kind::vote_query);
    query.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
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
    // A single voter becomes leader once its own vote is on disk (see `persisted`).
}

void replica::handle_vote_query(const message& msg, instant now)
{
    if (role_ == replica_role::fresh) {
        return; // a fresh disk may have lost an earlier vote
    }
    // The candidate need not be a voter in this replica's configuration, which may lack a recent
    // change; the log comparison decides. A removed member cannot disturb a live leader, because
    // votes are refused while a leader is heard.
    const bool sticky = heard_leader_recently(now) || role_ == replica_role::leader;
    if (sticky && !msg.handover) {
        // The leader's lease depends on this refusal. The reply carries this replica's own term.
        auto reply = make_message(message_kind::vote_reply);
        reply.pre_vote = msg.pre_vote;
        send_now(msg.from.node, reply);
        return;
    }
    if (!msg.pre_vote && msg.term > hard_state_.term) {
        become_follower(msg.term, {}, now);
    }
    const std::uint64_t own_term = term_at(last_index()).value_or(0);
    const bool up_to_date =
        msg.prev_term > own_term || (msg.prev_term == own_term && msg.prev_index >= last_index());
    const bool term_valid =
        msg.pre_vote ? msg.term > hard_state_.term : msg.term == hard_state_.term;
    const bool vote_available =
        msg.pre_vote || !hard_state_.voted_for || hard_state_.voted_for == msg.from;
    const bool granted = term_valid && up_to_date && vote_available && is_voter(self_);
    auto reply = make_message(message_kind::vote_reply);
    reply.pre_vote = msg.pre_vote;
    reply.granted = granted;
    if (granted && !msg.pre_vote) {
        hard_state_.voted_for = msg.from;
        save_hard_state();
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
        if (msg.term > hard_state_.term) {
            become_follower(msg.term, {}, now);
        }
        return;
    }
    const bool expected =
        msg.pre_vote ? role_ == replica_role::pre_candidate && msg.term == hard_state_.term + 1
                     : role_ == replica_role::candidate && msg.term == hard_state_.term;
    if (!expected || !is_voter(msg.from)) {
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
    append_entry({term_start_index_, hard_state_.term, entry_kind::no_op, 0, {}});
    rebuild_progress(now);
    broadcast(now, true);
}

std::optional<instant> replica::quorum_contact_time(instant own) const
{
    std::vector<instant> heard;
    for (const auto& it : config_.voters) {
        if (it == self_) {
            heard.push_back(own);
        } else if (const auto peer = peers_.find(it); peer != peers_.end()) {
            heard.push_back(peer->second.acked_send_time);
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
    const auto heard = quorum_contact_time(now);
    // Each member of the quorum refuses votes for election_min after it heard this leader. It
    // measures this by its own clock, which may run faster than this one by up to clock_drift.
    const auto held = std::chrono::duration_cast<micros>(options_.election_min).count();
    const auto safe =
        static_cast<std::int64_t>(static_cast<double>(held) * (1.0 - options_.clock_drift));
    return heard && now < *heard + micros{safe};
}

void replica::request_confirmation(instant now)
{
    if (role_ == replica_role::leader) {
        broadcast(now, true);
    }
}

bool replica::leadership_confirmed_since(instant since) const
{
    if (role_ != replica_role::leader || commit_ < term_start_index_) {
        return false;
    }
    const auto heard = quorum_contact_time(instant::max());
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
        // Without a quorum another leader may have been elected: step down, so that pending
        // proposals fail.
        become_follower(hard_state_.term, {}, now);
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
    send_now(target, make_message(message_kind::campaign_now));
    // Voters grant the successor's election although they hear this leader, so this replica must
    // step down and not use its lease again.
    become_follower(hard_state_.term, {}, now);
    last_heard_leader_ = now - options_.election_min;
}

} // namespace hickorypost::replog

#include "hickorypost/replog/replica.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hickorypost::replog {

namespace {

/// Time after a start during which election timeouts are short. Links between hosts are up within
/// 0.5 s. After this period timeouts are longer, for disks that take 0.1 s to sync a vote.
constexpr millis fast_election_period{1500};

} // namespace

replica::replica(recovered_state recovered, std::vector<node_id> founders, replica_options options,
                 random_fn random, instant now)
    : self_{std::move(recovered.self)}, founders_{std::move(founders)}, options_{options},
      random_{std::move(random)}, hard_state_{std::move(recovered.hard)}, base_{std::move(
                                                                              recovered.base)},
      last_heard_leader_{now}, heartbeat_due_{now}, probe_due_{now}
{
    if (base_) {
        log_start_index_ = base_->index;
        log_start_term_ = base_->term;
        commit_ = base_->index;
        delivered_ = base_->index;
        role_ = replica_role::follower;
        load_recovered_entries(std::move(recovered.entries));
        recompute_config();
        if (!base_->state.empty() || base_->index > 0) {
            effects_.install = base_;
        }
    }
    persisted_index_ = last_index();
    if (options_.vote_at_start) {
        last_heard_leader_ = now - options_.election_min;
        fast_elections_until_ = now + fast_election_period;
    }
    reset_election_timer(now);
}

void replica::load_recovered_entries(std::vector<entry> entries)
{
    for (auto& it : entries) {
        if (it.index == log_start_index_ && it.term != log_start_term_) {
            // The snapshot came from a leader whose log differs from this one: discard this log.
            log_.clear();
            return;
        }
        if (it.index == last_index() + 1) {
            log_.push_back(std::move(it));
        }
    }
}

std::uint64_t replica::last_index() const noexcept
{
    return log_start_index_ + log_.size();
}

std::optional<std::uint64_t> replica::term_at(std::uint64_t index) const
{
    if (index == log_start_index_) {
        return log_start_term_;
    }
    if (index < log_start_index_ || index > last_index()) {
        return std::nullopt;
    }
    return entry_at(index).term;
}

const entry& replica::entry_at(std::uint64_t index) const
{
    assert(index > log_start_index_ && index <= last_index());
    return log_[index - log_start_index_ - 1];
}

void replica::append_entry(entry it)
{
    assert(it.index == last_index() + 1);
    if (it.kind == entry_kind::config) {
        if (const auto config = wire::try_decode<group_config>(it.data)) {
            config_ = *config;
            config_index_ = it.index;
        }
    }
    open_batch().entries.push_back(it);
    log_.push_back(std::move(it));
}

void replica::truncate_from(std::uint64_t index)
{
    // Committed entries are stored on a quorum, so no leader can be elected that lacks them.
    assert(index > commit_);
    while (last_index() >= index) {
        log_.pop_back();
    }
    persisted_index_ = std::min(persisted_index_, index - 1);
    for (auto& [ticket, last] : ticket_last_index_) {
        last = std::min(last, index - 1);
    }
    if (config_index_ >= index) {
        recompute_config();
    }
}

void replica::trim_log()
{
    assert(base_);
    while (!log_.empty() && log_.front().index + options_.retained_entries <= base_->index) {
        log_start_index_ = log_.front().index;
        log_start_term_ = log_.front().term;
        log_.pop_front();
    }
}

void replica::recompute_config()
{
    config_ = base_ ? base_->config : group_config{};
    config_index_ = base_ ? base_->index : 0;
    for (const auto& it : log_) {
        if (it.kind != entry_kind::config || it.index <= config_index_) {
            continue;
        }
        if (const auto config = wire::try_decode<group_config>(it.data)) {
            config_ = *config;
            config_index_ = it.index;
        }
    }
    if (role_ == replica_role::learner && is_voter(self_)) {
        role_ = replica_role::follower;
    }
}

bool replica::is_voter(const member& who) const
{
    return std::find(config_.voters.begin(), config_.voters.end(), who) != config_.voters.end();
}

bool replica::is_learner(const member& who) const
{
    return std::find(config_.learners.begin(), config_.learners.end(), who) !=
           config_.learners.end();
}

std::set<node_id> replica::contacts() const
{
    std::set<node_id> out{founders_.begin(), founders_.end()};
    out.insert(extra_contacts_.begin(), extra_contacts_.end());
    for (const auto& it : config_.voters) {
        out.insert(it.node);
    }
    out.erase(self_.node);
    return out;
}

void replica::add_contact(const node_id& node)
{
    extra_contacts_.insert(node);
}

persist_batch& replica::open_batch()
{
    if (effects_.persist.empty()) {
        effects_.persist.emplace_back().ticket = next_ticket_++;
    }
    return effects_.persist.back();
}

void replica::save_hard_state()
{
    open_batch().hard = hard_state_;
}

message replica::make_message(message_kind kind) const
{
    message out;
    out.kind = kind;
    out.from = self_;
    out.term = hard_state_.term;
    return out;
}

void replica::send_now(const node_id& to, message body)
{
    effects_.send.push_back({to, std::move(body)});
}

void replica::send_after_persist(const node_id& to, message body)
{
    // If a crash undid a vote, two leaders could be elected in one term; if it undid an
    // acknowledged append, a committed entry could be lost. The message is therefore sent only
    // after the data that it depends on is on disk.
    const std::uint64_t ticket = next_ticket_ - 1;
    if (persisted_ticket_ >= ticket) {
        send_now(to, std::move(body));
        return;
    }
    deferred_messages_.push_back({ticket, {to, std::move(body)}});
}

effects replica::take_effects()
{
    for (const auto& it : effects_.persist) {
        ticket_last_index_.emplace_back(it.ticket, last_index());
    }
    return std::exchange(effects_, {});
}

void replica::persisted(std::uint64_t ticket, instant now)
{
    persisted_ticket_ = std::max(persisted_ticket_, ticket);
    while (!ticket_last_index_.empty() && ticket_last_index_.front().first <= ticket) {
        persisted_index_ = std::max(persisted_index_, ticket_last_index_.front().second);
        ticket_last_index_.pop_front();
    }
    const auto ready =
        std::stable_partition(deferred_messages_.begin(), deferred_messages_.end(),
                              [&](const deferred_message& it) { return it.ticket > ticket; });
    std::vector<deferred_message> ready_messages{std::make_move_iterator(ready),
                                                 std::make_move_iterator(deferred_messages_.end())};
    deferred_messages_.erase(ready, deferred_messages_.end());
    for (auto& it : ready_messages) {
        effects_.send.push_back(std::move(it.out));
    }
    if (role_ == replica_role::candidate && votes_.size() >= quorum()) {
        become_leader(now);
    }
    if (role_ == replica_role::leader) {
        advance_commit(now);
    }
}

void replica::tick(instant now)
{
    if (now >= probe_due_) {
        probe_due_ = now + options_.election_min;
        if (role_ == replica_role::fresh) {
            try_found_group(now);
            auto probe = make_message(message_kind::probe);
            probe.granted = true;
            for (const auto& it : contacts()) {
                send_now(it, probe);
            }
        }
    }
    if (role_ == replica_role::leader) {
        check_quorum(now);
    }
    if (role_ == replica_role::leader) {
        update_membership(now);
        if (now >= heartbeat_due_) {
            broadcast(now, true);
        }
        return;
    }
    if (now >= election_due_ && is_voter(self_)) {
        start_election(true, false, now);
    }
}

void replica::receive(const message& msg, instant now)
{
    switch (msg.kind) {
    case message_kind::probe:
        return handle_probe(msg, now);
    case message_kind::probe_reply:
        return handle_probe_reply(msg, now);
    case message_kind::found:
        return handle_found(msg, now);
    case message_kind::vote_query:
        return handle_vote_query(msg, now);
    case message_kind::vote_reply:
        return handle_vote_reply(msg, now);
    case message_kind::append:
        return handle_append(msg, now);
    case message_kind::append_reply:
        return handle_append_reply(msg, now);
    case message_kind::snapshot_piece:
        return handle_snapshot_piece(msg, now);
    case message_kind::snapshot_reply:
        return handle_snapshot_reply(msg, now);
    case message_kind::campaign_now:
        if (msg.term == hard_state_.term && is_voter(self_) && role_ == replica_role::follower) {
            start_election(false, true, now);
        }
        return;
    }
}

std::optional<std::uint64_t> replica::propose(std::string command, std::int64_t wall_ms,
                                              instant now)
{
    if (role_ != replica_role::leader) {
        return std::nullopt;
    }
    const std::uint64_t index = last_index() + 1;
    append_entry({index, hard_state_.term, entry_kind::command, wall_ms, std::move(command)});
    broadcast(now, false);
    return index;
}

void replica::deliver_committed()
{
    while (delivered_ < commit_) {
        ++delivered_;
        effects_.committed.push_back(entry_at(delivered_));
    }
}

void replica::compact(std::uint64_t index, std::string state)
{
    assert(base_ && index >= base_->index && index <= delivered_);
    const auto term = term_at(index);
    assert(term);
    // The snapshot holds the configuration in force at `index`, not a later one.
    group_config config = base_->config;
    for (const auto& it : log_) {
        if (it.index > index) {
            break;
        }
        if (it.kind == entry_kind::config) {
            config = wire::try_decode<group_config>(it.data).value_or(config);
        }
    }
    base_ = snapshot{index, *term, std::move(config), std::move(state)};
    open_batch().base = base_;
    trim_log();
}

} // namespace hickorypost::replog

/// Log replication: pipelined appends, catch-up by snapshots sent in pieces, commit by quorum.

#include "hickorypost/replog/replica.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace hickorypost::replog {

void replica::rebuild_progress(instant now)
{
    std::map<member, progress> kept;
    for (const auto* group : {&config_.voters, &config_.learners}) {
        for (const auto& it : *group) {
            if (it == self_) {
                continue;
            }
            if (const auto old = peers_.find(it); old != peers_.end()) {
                kept.emplace(it, old->second);
                continue;
            }
            progress fresh;
            fresh.who = it;
            fresh.next = last_index() + 1;
            fresh.last_answer = now;
            kept.emplace(it, fresh);
        }
    }
    peers_ = std::move(kept);
}

void replica::broadcast(instant now, bool heartbeat)
{
    if (heartbeat) {
        heartbeat_due_ = now + options_.heartbeat;
    }
    for (auto& [who, peer] : peers_) {
        if (heartbeat && now > peer.last_answer + options_.election_min) {
            // No reply for election_min: treat all messages in flight as lost.
            peer.inflight = 0;
            peer.probing = true;
            peer.next = std::max(peer.match + 1, std::min(peer.next, last_index() + 1));
            peer.snapshot_offset.reset();
        }
        send_append(peer, now, heartbeat);
    }
}

void replica::send_append(progress& peer, instant now, bool heartbeat)
{
    if (peer.next <= log_start_index_ && log_start_index_ > 0 && !term_at(peer.next - 1)) {
        continue_snapshot(peer, now);
        return;
    }
    const std::size_t window = peer.probing ? 1 : options_.max_inflight;
    const bool may_carry = peer.inflight < window;
    const bool has_more = peer.next <= last_index();
    if (!heartbeat && (!may_carry || !has_more)) {
        return;
    }
    auto out = make_message(message_kind::append);
    out.prev_index = peer.next - 1;
    out.prev_term = term_at(out.prev_index).value_or(0);
    out.commit = commit_;
    out.sent_us = static_cast<std::uint64_t>(now.time_since_epoch().count());
    std::size_t bytes = 0;
    std::uint64_t index = peer.next;
    while (may_carry && index <= last_index() && bytes < options_.max_append_bytes) {
        const entry& it = entry_at(index);
        bytes += it.data.size();
        out.entries.push_back(it);
        ++index;
    }
    if (!out.entries.empty()) {
        ++peer.inflight;
        if (!peer.probing) {
            peer.next = index;
        }
    }
    send_now(peer.who.node, std::move(out));
}

void replica::handle_append(const message& msg, instant now)
{
    auto reply = make_message(message_kind::append_reply);
    reply.sent_us = msg.sent_us;
    if (msg.term < hard_state_.term) {
        send_now(msg.from.node, reply);
        return;
    }
    if (role_ == replica_role::fresh) {
        reply.term = msg.term;
        reply.needs_snapshot = true;
        send_now(msg.from.node, reply);
        return;
    }
    if (msg.term > hard_state_.term || role_ == replica_role::leader ||
        role_ == replica_role::candidate || role_ == replica_role::pre_candidate ||
        leader_ != msg.from.node) {
        become_follower(msg.term, msg.from.node, now);
    }
    last_heard_leader_ = now;
    heard_any_leader_ = true;
    reset_election_timer(now);
    reply.term = hard_state_.term;
    const auto own = term_at(msg.prev_index);
    const bool behind_start = msg.prev_index < log_start_index_;
    if (!behind_start && own != msg.prev_term) {
        // Ask for the entries after the last index that may match: at most the end of this log,
        // below the conflicting entry, and at least the commit index.
        reply.match = std::min(last_index(), msg.prev_index - 1);
        reply.match = std::max(reply.match, commit_);
        send_now(msg.from.node, reply);
        return;
    }
    reply.granted = true;
    reply.match = msg.prev_index;
    bool wrote = false;
    for (const auto& it : msg.entries) {
        reply.match = it.index;
        if (it.index <= log_start_index_ || term_at(it.index) == it.term) {
            continue;
        }
        if (it.index <= last_index()) {
            truncate_from(it.index);
        }
        append_entry(it);
        wrote = true;
    }
    if (wrote && role_ == replica_role::learner && is_voter(self_)) {
        role_ = replica_role::follower;
    }
    const std::uint64_t commit = std::min(msg.commit, reply.match);
    if (commit > commit_) {
        commit_ = commit;
        deliver_committed();
    }
    if (reply.match > persisted_index_) {
        send_after_persist(msg.from.node, reply);
    } else {
        send_now(msg.from.node, reply);
    }
}

void replica::handle_append_reply(const message& msg, instant now)
{
    if (msg.term > hard_state_.term) {
        become_follower(msg.term, {}, now);
        return;
    }
    const auto found = peers_.find(msg.from);
    if (role_ != replica_role::leader || msg.term != hard_state_.term || found == peers_.end()) {
        return;
    }
    progress& peer = found->second;
    peer.last_answer = now;
    peer.acked_send_time =
        std::max(peer.acked_send_time, instant{micros{static_cast<std::int64_t>(msg.sent_us)}});
    if (peer.inflight > 0) {
        --peer.inflight;
    }
    if (msg.needs_snapshot) {
        continue_snapshot(peer, now);
        return;
    }
    if (!msg.granted) {
        if (msg.match >= peer.match) {
            peer.next = std::max(peer.match, std::min(msg.match, peer.next - 1)) + 1;
            peer.probing = true;
            peer.inflight = 0;
            send_append(peer, now, false);
        }
        return;
    }
    peer.snapshot_offset.reset();
    peer.probing = false;
    peer.match = std::max(peer.match, msg.match);
    peer.next = std::max(peer.next, peer.match + 1);
    advance_commit(now);
    if (role_ == replica_role::leader) {
        // `peers_` may have been rebuilt by a committed configuration change.
        if (const auto again = peers_.find(msg.from); again != peers_.end()) {
            send_append(again->second, now, false);
        }
    }
}

void replica::advance_commit(instant now)
{
    std::vector<std::uint64_t> matches;
    for (const auto& it : config_.voters) {
        if (it == self_) {
            matches.push_back(persisted_index_);
        } else if (const auto peer = peers_.find(it); peer != peers_.end()) {
            matches.push_back(peer->second.match);
        } else {
            matches.push_back(0);
        }
    }
    if (matches.empty()) {
        return;
    }
    const auto nth = matches.begin() + static_cast<std::ptrdiff_t>(quorum() - 1);
    std::nth_element(matches.begin(), nth, matches.end(), std::greater<>{});
    // An entry of an earlier term can be overwritten even if it is on a quorum. It is committed
    // only together with an entry of the current term.
    if (*nth <= commit_ || term_at(*nth) != hard_state_.term) {
        return;
    }
    commit_ = *nth;
    deliver_committed();
    if (config_index_ <= commit_ && !is_voter(self_)) {
        become_follower(hard_state_.term, {}, now);
    }
}

void replica::continue_snapshot(progress& peer, instant now)
{
    // Each piece is sent on the reply to the previous piece. A piece or its reply may be lost while
    // heartbeats are still replied to; without a retry after election_min the transfer would stall
    // forever, and the host would never become a voter again.
    if (!peer.snapshot_offset || now > peer.snapshot_sent + options_.election_min) {
        send_snapshot_piece(peer, now);
    }
}

void replica::send_snapshot_piece(progress& peer, instant now)
{
    assert(base_);
    if (peer.snapshot_index != base_->index || !peer.snapshot_offset) {
        peer.snapshot_index = base_->index;
        peer.snapshot_offset = 0;
    }
    peer.snapshot_sent = now;
    auto out = make_message(message_kind::snapshot_piece);
    out.sent_us = static_cast<std::uint64_t>(now.time_since_epoch().count());
    out.snapshot_index = base_->index;
    out.snapshot_term = base_->term;
    out.config = base_->config;
    out.offset = *peer.snapshot_offset;
    out.total = base_->state.size();
    out.bytes = base_->state.substr(out.offset, options_.snapshot_piece_bytes);
    send_now(peer.who.node, std::move(out));
}

void replica::handle_snapshot_piece(const message& msg, instant now)
{
    if (msg.term < hard_state_.term || !msg.config) {
        auto reply = make_message(message_kind::append_reply);
        send_now(msg.from.node, reply);
        return;
    }
    heard_any_leader_ = true;
    become_follower(msg.term, msg.from.node, now);
    last_heard_leader_ = now;
    auto reply = make_message(message_kind::snapshot_reply);
    reply.sent_us = msg.sent_us;
    reply.snapshot_index = msg.snapshot_index;
    if (msg.snapshot_index <= commit_ && role_ != replica_role::fresh) {
        reply.kind = message_kind::append_reply;
        reply.granted = true;
        reply.match = std::min(commit_, persisted_index_);
        send_now(msg.from.node, reply);
        return;
    }
    if (msg.offset == 0 || incoming_snapshot_index_ != msg.snapshot_index) {
        incoming_snapshot_.clear();
        incoming_snapshot_index_ = msg.snapshot_index;
    }
    if (msg.offset == incoming_snapshot_.size()) {
        incoming_snapshot_ += msg.bytes;
    }
    if (incoming_snapshot_.size() < msg.total) {
        reply.offset = incoming_snapshot_.size();
        send_now(msg.from.node, reply);
        return;
    }
    install_base({msg.snapshot_index, msg.snapshot_term, *msg.config,
                  std::exchange(incoming_snapshot_, {})});
    reply.kind = message_kind::append_reply;
    reply.granted = true;
    reply.match = msg.snapshot_index;
    send_after_persist(msg.from.node, reply);
}

void replica::install_base(snapshot base)
{
    log_.clear();
    log_start_index_ = base.index;
    log_start_term_ = base.term;
    commit_ = base.index;
    delivered_ = base.index;
    for (auto& [ticket, last] : ticket_last_index_) {
        last = std::min(last, base.index);
    }
    persisted_index_ = std::min(persisted_index_, base.index);
    base_ = std::move(base);
    auto& batch = open_batch();
    batch.entries.clear();
    batch.base = base_;
    batch.reset_log = true;
    if (role_ == replica_role::fresh) {
        save_hard_state();
        role_ = replica_role::learner;
    }
    recompute_config();
    effects_.committed.clear();
    effects_.install = base_;
}

void replica::handle_snapshot_reply(const message& msg, instant now)
{
    const auto found = peers_.find(msg.from);
    if (role_ != replica_role::leader || msg.term != hard_state_.term || found == peers_.end()) {
        return;
    }
    progress& peer = found->second;
    peer.last_answer = now;
    peer.acked_send_time =
        std::max(peer.acked_send_time, instant{micros{static_cast<std::int64_t>(msg.sent_us)}});
    if (msg.snapshot_index == peer.snapshot_index && peer.snapshot_offset) {
        peer.snapshot_offset = msg.offset;
        send_snapshot_piece(peer, now);
    }
}

} // namespace hickorypost::replog

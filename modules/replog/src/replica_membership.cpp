/// Founding of a group, and membership changes, one at a time.

#include "hickorypost/replog/replica.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>

namespace hickorypost::replog {

void replica::handle_probe(const message& msg, instant now)
{
    auto reply = make_message(message_kind::probe_reply);
    reply.granted = role_ == replica_role::fresh;
    send_now(msg.from.node, reply);
    if (role_ == replica_role::fresh) {
        fresh_disks_[msg.from.node] = msg.from;
        return;
    }
    if (!msg.granted) {
        return;
    }
    // The sender's disk is fresh. If the initial configuration lists this disk, the founder's offer
    // was lost: repeat it. Any other fresh disk must join as a learner.
    if (base_ && base_->index == 0 && is_voter(msg.from) && base_->config == config_) {
        auto offer = make_message(message_kind::found);
        offer.config = base_->config;
        send_now(msg.from.node, offer);
        return;
    }
    fresh_disks_[msg.from.node] = msg.from;
    if (role_ == replica_role::leader) {
        update_membership(now);
    }
}

void replica::handle_probe_reply(const message& msg, instant now)
{
    if (role_ != replica_role::fresh) {
        return;
    }
    if (!msg.granted) {
        group_exists_ = true;
        fresh_disks_.erase(msg.from.node);
        return;
    }
    fresh_disks_[msg.from.node] = msg.from;
    try_found_group(now);
}

void replica::try_found_group(instant now)
{
    if (role_ != replica_role::fresh || group_exists_ || founders_.empty() ||
        founders_.front() != self_.node) {
        return;
    }
    // Found the group only if every founding host reports a fresh disk: then no earlier group can
    // exist. Otherwise a host that has lost its disk would found a second group beside the existing
    // group on the other hosts.
    group_config config;
    for (const auto& it : founders_) {
        if (it == self_.node) {
            config.voters.push_back(self_);
        } else if (const auto seen = fresh_disks_.find(it); seen != fresh_disks_.end()) {
            config.voters.push_back(seen->second);
        } else {
            return;
        }
    }
    auto offer = make_message(message_kind::found);
    offer.config = config;
    handle_found(offer, now);
    for (const auto& it : founders_) {
        if (it != self_.node) {
            send_after_persist(it, offer);
        }
    }
}

void replica::handle_found(const message& msg, instant now)
{
    const bool names_us =
        msg.config && std::find(msg.config->voters.begin(), msg.config->voters.end(), self_) !=
                          msg.config->voters.end();
    if (role_ != replica_role::fresh || !names_us) {
        return;
    }
    base_ = snapshot{0, 0, *msg.config, {}};
    recompute_config();
    role_ = replica_role::follower;
    open_batch().base = base_;
    save_hard_state();
    reset_election_timer(now);
}

void replica::propose_config(const group_config& config, instant now)
{
    const std::uint64_t index = last_index() + 1;
    append_entry({index, hard_state_.term, entry_kind::config, 0, wire::encode(config)});
    rebuild_progress(now);
    broadcast(now, false);
}

void replica::set_founders(std::vector<node_id> founders)
{
    if (role_ == replica_role::fresh) {
        founders_ = std::move(founders);
    }
}

bool replica::may_join(const node_id& node) const
{
    return options_.admit_any_host || extra_contacts_.contains(node) ||
           std::find(founders_.begin(), founders_.end(), node) != founders_.end();
}

bool replica::is_silent(const member& who, instant now) const
{
    const auto peer = peers_.find(who);
    return options_.replace_silent_after.count() > 0 && peer != peers_.end() &&
           now > peer->second.last_answer + options_.replace_silent_after;
}

void replica::update_membership(instant now)
{
    // One change at a time: two concurrent changes could form quorums that do not overlap.
    if (config_index_ > commit_ || commit_ < term_start_index_) {
        return;
    }
    if (!admit_learner(now)) {
        promote_learner(now);
    }
}

bool replica::admit_learner(instant now)
{
    for (const auto& seen : fresh_disks_) {
        const member& disk = seen.second;
        if (is_voter(disk) || is_learner(disk) || !may_join(disk.node)) {
            continue;
        }
        group_config next = config_;
        std::erase_if(next.learners, [&](const member& it) { return it.node == disk.node; });
        next.learners.push_back(disk);
        propose_config(next, now);
        return true;
    }
    return false;
}

bool replica::promote_learner(instant now)
{
    for (const auto& learner : config_.learners) {
        const auto peer = peers_.find(learner);
        const bool caught_up = peer != peers_.end() && peer->second.match >= commit_ &&
                               peer->second.match > 0 &&
                               now < peer->second.last_answer + options_.election_min;
        if (!caught_up) {
            continue;
        }
        group_config next = config_;
        // Remove the lost disk first and add the new disk as a voter in a second change, so that
        // no change replaces a voter in one step. In between, a quorum needs the same hosts as
        // before.
        const auto lost = std::find_if(next.voters.begin(), next.voters.end(), [&](const auto& it) {
            return it != self_ && (it.node == learner.node || !may_join(it.node));
        });
        const auto silent =
            std::find_if(next.voters.begin(), next.voters.end(),
                         [&](const auto& it) { return it != self_ && is_silent(it, now); });
        if (lost != next.voters.end()) {
            next.voters.erase(lost);
        } else if (next.voters.size() < target_voters()) {
            std::erase(next.learners, learner);
            next.voters.push_back(learner);
        } else if (silent != next.voters.end()) {
            // The silent voter may only be disconnected; as a learner it gets the log when it
            // returns.
            next.learners.push_back(*silent);
            next.voters.erase(silent);
        } else {
            continue;
        }
        propose_config(next, now);
        return true;
    }
    return false;
}

} // namespace hickorypost::replog

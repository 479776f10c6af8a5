#include "hickorypost/replog/group.h"

#include <utility>

namespace hickorypost::replog {

group::group(std::unique_ptr<replica> core, std::unique_ptr<state_machine> machine,
             group_hooks hooks, group_options options)
    : core_{std::move(core)}, machine_{std::move(machine)}, hooks_{std::move(hooks)}, options_{
                                                                                          options}
{
    process_effects();
}

void group::tick(instant now)
{
    core_->tick(now);
    process_effects();
}

void group::receive(const message& msg, instant now)
{
    core_->receive(msg, now);
    process_effects();
}

void group::persisted(std::uint64_t ticket, instant now)
{
    core_->persisted(ticket, now);
    process_effects();
}

void group::propose(std::string command, std::int64_t wall_ms, instant now, answer_fn done)
{
    const auto index = core_->propose(std::move(command), wall_ms, now);
    if (!index) {
        done({group_status::not_leader, core_->leader(), {}});
        return;
    }
    pending_.emplace(*index, pending_proposal{core_->term(), std::move(done)});
    process_effects();
}

void group::read(std::string_view query, instant now, const answer_fn& done)
{
    if (core_->role() != replica_role::leader) {
        done({group_status::not_leader, core_->leader(), {}});
        return;
    }
    if (!core_->lease_valid(now) || applied_ < core_->commit_index()) {
        done({group_status::unavailable, {}, {}});
        return;
    }
    done({group_status::done, core_->self().node, machine_->read(query)});
}

void group::read_confirmed(std::string_view query, instant now, answer_fn done)
{
    if (core_->role() != replica_role::leader) {
        done({group_status::not_leader, core_->leader(), {}});
        return;
    }
    reads_.push_back({now, std::string{query}, std::move(done)});
    core_->request_confirmation(now);
    process_effects();
}

void group::answer_reads()
{
    for (std::size_t n = 0; n < reads_.size();) {
        if (!core_->leadership_confirmed_since(reads_[n].since) ||
            applied_ < core_->commit_index()) {
            ++n;
            continue;
        }
        const pending_read it = std::move(reads_[n]);
        reads_.erase(reads_.begin() + static_cast<std::ptrdiff_t>(n));
        it.done({group_status::done, core_->self().node, machine_->read(it.query)});
    }
}

void group::hand_over(instant now)
{
    core_->hand_over(now);
    process_effects();
}

void group::process_effects()
{
    // Callbacks may call back into the group; the outermost call processes the resulting effects.
    if (processing_effects_) {
        return;
    }
    processing_effects_ = true;
    while (true) {
        effects out = core_->take_effects();
        if (out.persist.empty() && out.send.empty() && out.committed.empty() && !out.install) {
            break;
        }
        for (auto& it : out.persist) {
            hooks_.persist(std::move(it));
        }
        for (const auto& it : out.send) {
            hooks_.send(it.to, it.body);
        }
        if (out.install) {
            machine_->load(out.install->state);
            applied_ = out.install->index;
            snapshot_index_ = applied_;
        }
        for (const auto& it : out.committed) {
            apply(it);
        }
        if (applied_ >= snapshot_index_ + options_.snapshot_every) {
            snapshot_index_ = applied_;
            core_->compact(applied_, machine_->save());
        }
    }
    processing_effects_ = false;
    answer_reads();
    if (core_->role() != replica_role::leader && !(pending_.empty() && reads_.empty())) {
        fail_pending();
    }
}

void group::apply(const entry& it)
{
    applied_ = it.index;
    std::string answer;
    if (it.kind == entry_kind::command) {
        answer = machine_->apply(it);
        hooks_.applied(it);
    }
    const auto found = pending_.find(it.index);
    if (found == pending_.end()) {
        return;
    }
    auto waiting = std::move(found->second);
    pending_.erase(found);
    // An entry of another term at this index means that the proposed command was overwritten.
    const bool ours = waiting.term == it.term;
    waiting.done(ours ? group_answer{group_status::done, core_->self().node, std::move(answer)}
                      : group_answer{group_status::unavailable, {}, {}});
}

void group::fail_pending()
{
    auto waiting = std::exchange(pending_, {});
    for (auto& [index, it] : waiting) {
        it.done({group_status::unavailable, core_->leader(), {}});
    }
    const auto reads = std::exchange(reads_, {});
    for (const auto& it : reads) {
        it.done({group_status::unavailable, core_->leader(), {}});
    }
}

} // namespace hickorypost::replog

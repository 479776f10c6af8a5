#include "sim_cluster.h"

namespace hickorypost::testing {

namespace {

constexpr micros tick_every{10'000};

} // namespace

sim_cluster::sim_cluster(cluster_options options, std::uint64_t seed)
    : options_{options}, random_{seeded_random_fn(seed)}, now_{instant{} + millis{1000}}
{
    const std::size_t hosts = options_.hosts;
    if (options_.founders == 0) {
        options_.founders = hosts;
    }
    hosts_.resize(hosts);
    for (std::size_t n = 0; n < hosts; ++n) {
        names_.push_back("c" + std::to_string(n));
        hosts_[n].disk = std::make_unique<virtual_disk>(seed + n);
        // Clock rates stay within `replica_options::clock_drift`.
        hosts_[n].clock_rate = 1.0 + 0.004 * static_cast<double>(n);
    }
    for (std::size_t n = 0; n < hosts; ++n) {
        start(n);
    }
}

instant sim_cluster::clock_of(std::size_t host) const
{
    const auto since = static_cast<double>(now_.time_since_epoch().count());
    return instant{micros{static_cast<std::int64_t>(since * hosts_[host].clock_rate)}};
}

std::size_t sim_cluster::host_index(const node_id& node) const
{
    return static_cast<std::size_t>(std::find(names_.begin(), names_.end(), node) - names_.begin());
}

void sim_cluster::at(instant when, std::function<void()> run)
{
    events_.push({when, next_order_++, std::move(run)});
}

void sim_cluster::run_on_host(std::size_t host, instant when,
                              std::function<void(replog::group&)> run)
{
    at(when, [this, host, generation = hosts_[host].generation, run = std::move(run)] {
        sim_host& it = hosts_[host];
        if (it.generation != generation || !it.group) {
            return;
        }
        if (now_ < it.frozen_until) {
            run_on_host(host, it.frozen_until,
                        run); // a paused process receives its messages once it resumes
            return;
        }
        run(*it.group);
        check_invariants();
    });
}

void sim_cluster::start(std::size_t host)
{
    sim_host& it = hosts_[host];
    ++it.generation;
    it.store = value_or_handle<storage::storage_error>(
        [&] { return replog::replica_store::open(*it.disk, "g0-", names_[host], random_); },
        [&](const storage::storage_error& error) {
            violations_.push_back("disk cannot be opened: " + storage::describe(error));
            return std::unique_ptr<replog::replica_store>{};
        });
    if (!it.store) {
        return;
    }
    replog::replica_options options;
    options.heartbeat = millis{50};
    options.election_min = options_.election_min;
    options.election_max = options_.election_max;
    options.retained_entries = 5;
    options.snapshot_piece_bytes = 64;
    options.vote_at_start = options_.vote_at_start;
    options.admit_any_host = options_.replace_silent;
    if (options_.replace_silent) {
        options.replace_silent_after = millis{600};
    }
    const std::vector<node_id> founders{
        names_.begin(), names_.begin() + static_cast<std::ptrdiff_t>(options_.founders)};
    auto core = std::make_unique<replog::replica>(it.store->take_recovered(), founders, options,
                                                  random_, clock_of(host));
    if (options_.replace_silent) {
        // Spare hosts are not founders; each host is told about all others here.
        std::for_each(names_.begin(), names_.end(),
                      [&](const auto& name) { core->add_contact(name); });
    }
    replog::group_hooks hooks;
    hooks.send = [this, host](const node_id& to, const replog::message& msg) {
        deliver(host, host_index(to), msg);
    };
    hooks.persist = [this, host](const replog::persist_batch& batch) {
        const std::uint64_t ticket = batch.ticket;
        const auto delay =
            static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(faults.max_sync_us));
        // The batch is written now but durable only when the sync ends; a crash before that may
        // lose it.
        leaf::try_handle_all([&]() -> result<void> { return hosts_[host].store->append(batch); },
                             [&] { violations_.emplace_back("append to the log failed"); });
        run_on_host(host, now_ + micros{delay}, [this, host, ticket](replog::group& group) {
            if (!skip_disk_syncs) {
                leaf::try_handle_all([&]() -> result<void> { return hosts_[host].store->sync(); },
                                     [&] { violations_.emplace_back("sync of the log failed"); });
            }
            group.persisted(ticket, clock_of(host));
        });
    };
    hooks.applied = [](const replog::entry&) {};
    it.group = std::make_unique<replog::group>(std::move(core), std::make_unique<list_machine>(),
                                               std::move(hooks),
                                               replog::group_options{.snapshot_every = 10});
    schedule_tick(host);
}

void sim_cluster::schedule_tick(std::size_t host)
{
    run_on_host(host, now_ + tick_every, [this, host](replog::group& group) {
        group.tick(clock_of(host));
        schedule_tick(host);
    });
}

void sim_cluster::deliver(std::size_t from, std::size_t to, const replog::message& msg)
{
    if (to >= hosts_.size() || cuts_.contains({from, to}) || unit_random(random_) < faults.loss) {
        return;
    }
    const int copies = unit_random(random_) < faults.duplicate ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        const auto delay =
            static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(faults.max_delay_us));
        // Encoded here and decoded on arrival, as on a real link.
        run_on_host(
            to, now_ + micros{delay}, [this, to, bytes = wire::encode(msg)](replog::group& group) {
                group.receive(wire::try_decode<replog::message>(bytes).value(), clock_of(to));
            });
    }
}

void sim_cluster::run_for(millis time)
{
    const instant end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.run();
    }
    now_ = end;
}

bool sim_cluster::run_until(const std::function<bool()>& done, millis limit)
{
    const instant end = now_ + limit;
    while (!done()) {
        if (now_ >= end) {
            return false;
        }
        run_for(millis{10});
    }
    return true;
}

void sim_cluster::crash(std::size_t host)
{
    sim_host& it = hosts_[host];
    ++it.generation;
    it.group.reset();
    it.store.reset();
    it.disk->crash();
}

void sim_cluster::restart(std::size_t host)
{
    if (!hosts_[host].group) {
        start(host);
    }
}

void sim_cluster::lose_disk(std::size_t host)
{
    crash(host);
    hosts_[host].disk->wipe();
}

void sim_cluster::freeze(std::size_t host, millis time)
{
    hosts_[host].frozen_until = now_ + time;
}

void sim_cluster::cut(std::size_t from, std::size_t to, bool cut_off)
{
    if (cut_off) {
        cuts_.insert({from, to});
    } else {
        cuts_.erase({from, to});
    }
}

void sim_cluster::isolate(std::size_t host, bool cut_off)
{
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        cut(host, n, cut_off);
        cut(n, host, cut_off);
    }
}

std::optional<std::size_t> sim_cluster::leader() const
{
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        if (hosts_[n].group && now_ >= hosts_[n].frozen_until &&
            hosts_[n].group->leads(clock_of(n))) {
            return n;
        }
    }
    return std::nullopt;
}

bool sim_cluster::propose(const std::string& command)
{
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        auto& group = hosts_[n].group;
        if (!group || now_ < hosts_[n].frozen_until ||
            group->core().role() != replog::replica_role::leader) {
            continue;
        }
        group->propose(command, 0, clock_of(n), [this, command](const replog::group_answer& it) {
            if (it.status == replog::group_status::done) {
                acknowledged_.push_back(command);
            }
        });
        return true;
    }
    return false;
}

void sim_cluster::check_read(std::size_t acknowledged_before, const replog::group_answer& answer)
{
    if (answer.status != replog::group_status::done) {
        return;
    }
    ++reads_answered_;
    if (std::stoul(answer.result) < acknowledged_before) {
        violations_.push_back("read of " + answer.result + " commands after " +
                              std::to_string(acknowledged_before) + " were acknowledged");
    }
}

void sim_cluster::read_everywhere()
{
    const std::size_t acknowledged_before = acknowledged_.size();
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        auto& group = hosts_[n].group;
        if (!group || now_ < hosts_[n].frozen_until) {
            continue;
        }
        const auto done = [this, acknowledged_before](const replog::group_answer& it) {
            check_read(acknowledged_before, it);
        };
        if (lease_reads) {
            group->read({}, clock_of(n), done);
        } else {
            group->read_confirmed({}, clock_of(n), done);
        }
    }
}

bool sim_cluster::all_voters_caught_up() const
{
    const auto leader_host = leader();
    if (!leader_host) {
        return false;
    }
    const auto& config = core(*leader_host).config();
    if (config.voters.size() != options_.founders) {
        return false;
    }
    return std::all_of(config.voters.begin(), config.voters.end(), [&](const auto& voter) {
        const auto& it = hosts_[host_index(voter.node)];
        return it.group && it.group->core().self() == voter &&
               it.group->applied_index() >= core(*leader_host).commit_index();
    });
}

void sim_cluster::check_invariants()
{
    std::size_t leases = 0;
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        const auto& group = hosts_[n].group;
        if (!group) {
            continue;
        }
        if (group->core().role() == replog::replica_role::leader) {
            const auto [it, added] = leader_of_term_.try_emplace(group->core().term(), names_[n]);
            if (!added && it->second != names_[n]) {
                violations_.push_back("two leaders in term " + std::to_string(it->first));
            }
        }
        leases += group->leads(clock_of(n)) ? 1U : 0U;
        const auto& here = commands(n);
        const std::size_t shared = std::min(here.size(), longest_history_.size());
        if (!std::equal(here.begin(), here.begin() + static_cast<std::ptrdiff_t>(shared),
                        longest_history_.begin())) {
            violations_.push_back("states differ at " + names_[n]);
        }
        if (here.size() > longest_history_.size()) {
            longest_history_ = here;
        }
    }
    // Replicas that vote immediately after a start may elect a leader during another's lease;
    // their reads are confirmed by a quorum instead.
    if (leases > 1 && !options_.vote_at_start) {
        violations_.emplace_back("two replicas hold the leader's lease at once");
    }
}

std::string sim_cluster::describe() const
{
    std::string out;
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        out += "\n" + names_[n] + ": ";
        if (!hosts_[n].group) {
            out += "down";
            continue;
        }
        const auto& it = core(n);
        out += "role " + std::to_string(static_cast<int>(it.role())) + " term " +
               std::to_string(it.term()) + " leader " + it.leader() + " commit " +
               std::to_string(it.commit_index()) + " last " + std::to_string(it.last_index()) +
               " disk " + std::to_string(it.self().disk % 1000) + " voters";
        for (const auto& voter : it.config().voters) {
            out += " " + voter.node + "/" + std::to_string(voter.disk % 1000);
        }
        out += " learners";
        for (const auto& learner : it.config().learners) {
            out += " " + learner.node + "/" + std::to_string(learner.disk % 1000);
        }
    }
    return out;
}

void sim_cluster::check_acknowledged_commands()
{
    const auto leader_host = leader();
    if (!leader_host) {
        violations_.emplace_back("no leader at the end");
        return;
    }
    const auto& here = commands(*leader_host);
    for (const auto& it : acknowledged_) {
        const auto n = std::count(here.begin(), here.end(), it);
        if (n != 1) {
            violations_.push_back("acknowledged command " + it + " occurs " + std::to_string(n) +
                                  " times in the state");
        }
    }
}

} // namespace hickorypost::testing

#pragma once

#include "hickorypost/replog/group.h"
#include "hickorypost/replog/replica_store.h"
#include "hickorypost/wire/codec.h"
#include "virtual_disk.h"

#include <queue>
#include <set>

namespace hickorypost::testing {

/// Faults of the network between the replicas.
struct network_faults {
    double loss = 0;
    double duplicate = 0;
    std::int64_t max_delay_us = 3000; ///< each message takes a random time up to this: they reorder
    std::int64_t max_sync_us = 2000;  ///< a disk's sync takes a random time up to this
};

/// How the replicas of a cluster are set up.
struct cluster_options {
    std::size_t hosts = 3;
    std::size_t founders = 0; ///< the first hosts; 0: all. The others are spare
    bool vote_at_start = false;
    millis election_min{200};
    millis election_max{400};
    bool replace_silent = false; ///< spare hosts take the places of silent voters
};

/// A list of committed commands: the state machine of the tests.
class list_machine final : public replog::state_machine {
public:
    std::string apply(const replog::entry& command) override
    {
        commands_.push_back(command.data);
        return std::to_string(commands_.size());
    }
    std::string read(std::string_view) const override { return std::to_string(commands_.size()); }
    std::string save() const override { return wire::encode(commands_); }
    void load(std::string_view state) override
    {
        commands_ = state.empty() ? std::vector<std::string>{}
                                  : wire::try_decode<std::vector<std::string>>(state).value();
    }
    [[nodiscard]] const std::vector<std::string>& commands() const noexcept { return commands_; }

private:
    std::vector<std::string> commands_;
};

/// A few replicas, their disks and the messages between them, in virtual time.
class sim_cluster {
public:
    sim_cluster(std::size_t hosts, std::uint64_t seed)
        : sim_cluster{cluster_options{.hosts = hosts}, seed}
    {
    }
    sim_cluster(cluster_options options, std::uint64_t seed);

    void run_for(millis time);
    /// Runs until `done`, at most `limit`; false if it did not come to that.
    bool run_until(const std::function<bool()>& done, millis limit);

    /// Broken on purpose, to show that the checks notice: syncs report success at once and do
    /// nothing, as a disk with a lying write cache.
    bool lying_disks = false;

    void crash(std::size_t host);
    void restart(std::size_t host);
    void lose_disk(std::size_t host);
    void freeze(std::size_t host, millis time);
    void cut(std::size_t from, std::size_t to, bool cut_off);
    void isolate(std::size_t host, bool cut_off);
    void hand_over(std::size_t host) { hosts_[host].group->hand_over(clock_of(host)); }
    network_faults faults;

    /// Broken on purpose: reads are answered under the leader's lease, without a quorum's word.
    bool trusting_reads = false;
    /// Reads at every host that takes itself for the leader; an answer that lacks what was
    /// acknowledged before the question is a violation.
    void read_everywhere();
    [[nodiscard]] std::size_t reads_answered() const { return reads_answered_; }

    /// Proposes at whichever host leads by its own account; counts what was acknowledged.
    bool propose(const std::string& command);
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] bool alive(std::size_t host) const { return hosts_[host].group != nullptr; }
    [[nodiscard]] const replog::replica& core(std::size_t host) const
    {
        return hosts_[host].group->core();
    }
    [[nodiscard]] const std::vector<std::string>& commands(std::size_t host) const
    {
        return static_cast<const list_machine&>(hosts_[host].group->machine()).commands();
    }
    [[nodiscard]] const std::vector<std::string>& acknowledged() const { return acknowledged_; }
    [[nodiscard]] std::size_t size() const { return hosts_.size(); }
    [[nodiscard]] instant now() const { return now_; }
    /// Voters that are whole: running, with the disk that the configuration names, and caught up.
    [[nodiscard]] bool all_voters_whole() const;

    /// Every host's role, configuration and log, for a failing test's output.
    [[nodiscard]] std::string describe() const;
    /// What went against the promises of a replicated log; empty if nothing did.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Checks that every acknowledged command is in the state of every listed host.
    void check_nothing_lost();

private:
    struct sim_host {
        std::unique_ptr<virtual_disk> disk;
        std::unique_ptr<replog::replica_store> store;
        std::unique_ptr<replog::group> group;
        std::uint64_t generation = 0; ///< events of an earlier run of the process are dropped
        instant frozen_until;
        double clock_rate = 1.0;
    };
    struct event {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(instant when, std::function<void()> run);
    void on_host(std::size_t host, instant when, std::function<void(replog::group&)> run);
    void start(std::size_t host);
    void schedule_tick(std::size_t host);
    void deliver(std::size_t from, std::size_t to, const replog::message& msg);
    void check_invariants();
    [[nodiscard]] instant clock_of(std::size_t host) const;
    [[nodiscard]] std::size_t host_named(const node_id& node) const;

    void take_read(std::size_t known, const replog::group_answer& answer);

    cluster_options options_;
    std::size_t reads_answered_ = 0;
    std::vector<sim_host> hosts_;
    std::vector<node_id> names_;
    random_fn random_;
    instant now_;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event> events_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<std::string> acknowledged_;
    std::vector<std::string> longest_;
    std::map<std::uint64_t, node_id> leader_of_term_;
    std::vector<std::string> violations_;
};

} // namespace hickorypost::testing

#pragma once

#include "hickorypost/replog/group.h"
#include "hickorypost/replog/replica_store.h"
#include "hickorypost/wire/codec.h"
#include "virtual_disk.h"

#include <queue>
#include <set>

namespace hickorypost::testing {

/// Faults of the network between the replicas, and the delays of network and disks.
struct network_faults {
    double loss = 0;      ///< probability that a message is lost
    double duplicate = 0; ///< probability that a message is delivered twice
    std::int64_t max_delay_us =
        3000; ///< upper bound of a message's random delay, which reorders messages
    std::int64_t max_sync_us = 2000; ///< upper bound of a disk sync's random duration
};

/// Configuration of a simulated cluster.
struct cluster_options {
    std::size_t hosts = 3;
    std::size_t founders = 0; ///< number of founding hosts; 0 means all. The others are spare hosts
    bool vote_at_start = false;
    millis election_min{200};
    millis election_max{400};
    bool replace_silent = false; ///< spare hosts replace silent voters
};

/// State machine of the tests: a list of the committed commands.
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

/// Simulates replicas, their disks and the messages between them in virtual time.
class sim_cluster {
public:
    sim_cluster(std::size_t hosts, std::uint64_t seed)
        : sim_cluster{cluster_options{.hosts = hosts}, seed}
    {
    }
    sim_cluster(cluster_options options, std::uint64_t seed);

    void run_for(millis time);
    /// Runs until `done` returns true, for at most `limit`. Returns false if the limit was reached.
    bool run_until(const std::function<bool()>& done, millis limit);

    /// Deliberate fault that the checks must detect: syncs report success and do nothing, like a
    /// disk whose volatile write cache ignores flushes.
    bool skip_disk_syncs = false;

    void crash(std::size_t host);
    void restart(std::size_t host);
    void lose_disk(std::size_t host);
    void freeze(std::size_t host, millis time);
    void cut(std::size_t from, std::size_t to, bool cut_off);
    void isolate(std::size_t host, bool cut_off);
    void hand_over(std::size_t host) { hosts_[host].group->hand_over(clock_of(host)); }
    network_faults faults;

    /// Deliberate fault that the checks must detect: reads are answered under the leader's lease,
    /// without confirmation by a quorum.
    bool lease_reads = false;
    /// Reads at every running host; only those that consider themselves leader answer. An answer
    /// that lacks a command acknowledged before the read began is recorded as a violation.
    void read_everywhere();
    [[nodiscard]] std::size_t reads_answered() const { return reads_answered_; }

    /// Proposes at the first host that considers itself leader and records the command once it is
    /// acknowledged. Returns false if no host considers itself leader.
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
    /// True if there is a leader, the configuration has as many voters as there were founders, and
    /// each voter runs on the disk that the configuration lists and has applied the leader's
    /// committed entries.
    [[nodiscard]] bool all_voters_caught_up() const;

    /// Describes every host's role, configuration and log, for the output of a failing test.
    [[nodiscard]] std::string describe() const;
    /// Descriptions of all safety violations found so far.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Records a violation unless there is a leader whose state holds every acknowledged command
    /// exactly once.
    void check_acknowledged_commands();

private:
    struct sim_host {
        std::unique_ptr<virtual_disk> disk;
        std::unique_ptr<replog::replica_store> store;
        std::unique_ptr<replog::group> group;
        std::uint64_t generation = 0; ///< events of an earlier process are discarded
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
    void run_on_host(std::size_t host, instant when, std::function<void(replog::group&)> run);
    void start(std::size_t host);
    void schedule_tick(std::size_t host);
    void deliver(std::size_t from, std::size_t to, const replog::message& msg);
    void check_invariants();
    [[nodiscard]] instant clock_of(std::size_t host) const;
    [[nodiscard]] std::size_t host_index(const node_id& node) const;

    void check_read(std::size_t acknowledged_before, const replog::group_answer& answer);

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
    std::vector<std::string> longest_history_;
    std::map<std::uint64_t, node_id> leader_of_term_;
    std::vector<std::string> violations_;
};

} // namespace hickorypost::testing

#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hickorypost::routing {

/// How a backend server is chosen. All but `expected_time` are baselines for comparison.
enum class policy : std::uint8_t {
    expected_time, ///< lowest expected time to first token among a few sampled candidates
    random,
    round_robin,
    least_in_flight,
    power_of_two,
};

/// Returns nothing if no policy has this name.
std::optional<policy> parse_policy(std::string_view name) noexcept;

/// Model of the time to first token as a function of load and prompt length, in microseconds.
struct engine_profile {
    double step_us = 3000;            ///< one decoding step without sequences
    double per_sequence_us = 250;     ///< added to a step by each running sequence
    double per_prompt_token_us = 25;  ///< processing of one prompt token
    double cached_prompt_share = 0.8; ///< share of the prompt's cost that a cached prefix saves
    /// Delay that a further request causes to each request that already runs on the backend server.
    /// Without this term, a cached prefix would concentrate requests on one replica.
    double slowdown_per_request_us = 1000;
};

struct router_options {
    policy how = policy::expected_time;
    /// Number of candidates that are compared per choice, so that the cost of a choice doesn't grow
    /// with the number of backend servers.
    std::size_t samples = 12;
    /// Costs of a step and of a prompt token on an average replica. Only their proportions matter,
    /// since the router measures a factor for each backend server.
    engine_profile profile;
    /// Time over which a new or returning backend server reaches its full share of the work.
    millis slow_start{3000};
    /// Time without requests to a backend server after its first failure. Doubles with each further
    /// failure up to `longest_probation`.
    millis first_probation{500};
    millis longest_probation{30'000};
    /// Maximum number of prefix hashes that are kept per backend server.
    std::size_t max_prefixes = 4096;
};

/// Identifies a backend server by its agent and its name there.
struct backend_id {
    node_id agent;
    std::string backend;

    friend auto operator<=>(const backend_id&, const backend_id&) = default;
    friend bool operator==(const backend_id&, const backend_id&) = default;
};

struct route_query {
    model_version target;
    /// Hash of the prompt's prefix, or of the session; 0 if no cached prefix can be reused.
    std::uint64_t prefix = 0;
    double prompt_tokens = 200;
    /// Backend servers that this request has tried already.
    std::vector<backend_id> excluded;
};

struct route_choice {
    backend_id backend;
    incarnation agent_life = 0;
    /// Modelled time to first token of an average replica under this one's load. Pass it on in the
    /// `attempt_report`.
    micros modelled_first{0};
};

/// Result of one attempt.
struct attempt_report {
    bool failed = false; ///< by a fault of the backend server or of the link to it
    std::optional<micros> first_token;
    micros modelled_first{0}; ///< from `choose`; 0: the speed estimate is not updated
    micros total{0};
};

/// An entry's table of backend servers and the choice among them. Does no I/O.
///
/// Load reports arrive late, so they only serve to estimate the average load that other entries put
/// on a backend server. The load of this entry itself is known exactly at any time.
class router {
public:
    router(router_options options, random_fn random);

    /// Applies an agent's announcement. Backend servers that it no longer names are removed.
    void upsert(const wire::agent_info& agent, instant now);
    void remove(const node_id& agent);
    /// Sets whether this entry has a link to the agent. Backend servers of an agent without a link
    /// are not chosen.
    void set_linked(const node_id& agent, bool linked, instant now);

    /// Returns nothing if no backend server can take the request.
    std::optional<route_choice> choose(const route_query& query, instant now);

    void started(const backend_id& id, std::uint64_t prefix, instant now);
    void ended(const backend_id& id, const attempt_report& report, instant now);
    /// Applies a load report: the requests of all entries that the backend server runs and queues.
    void apply_load_report(const backend_id& id, std::uint32_t running, std::uint32_t queued);
    /// The engine reported that it evicted a prefix. Cache events arrive late and some are lost.
    void forget_prefix(const backend_id& id, std::uint64_t prefix);

    [[nodiscard]] std::size_t size() const noexcept { return backends_.size(); }
    [[nodiscard]] std::size_t candidates(const model_version& target) const;
    /// Requests of this entry in flight at the backend server.
    [[nodiscard]] std::uint32_t in_flight(const backend_id& id) const;

private:
    struct backend_state {
        backend_id id;
        incarnation agent_life = 0;
        std::vector<model_version> offers;
        std::uint32_t slots = 1;
        bool leaving = false;
        bool linked = false;
        instant slow_start_from;
        std::uint32_t own_in_flight = 0; ///< requests of this entry in flight
        double others_in_flight = 0;     ///< moving average of the requests of other entries
        double latency_factor = 1; ///< measured ratio of time to first token to the modelled time
        std::uint64_t answer_count = 0;
        std::uint32_t failures = 0;
        instant probation_until;
        bool probe_in_flight = false;
        std::unordered_map<std::uint64_t, instant> prefixes;
    };

    [[nodiscard]] bool usable(const backend_state& it, const route_query& query, instant now) const;
    [[nodiscard]] double load_of(const backend_state& it) const;
    [[nodiscard]] double modelled_us(const backend_state& it, const route_query& query) const;
    [[nodiscard]] double expected_us(const backend_state& it, const route_query& query,
                                     instant now) const;
    std::optional<std::size_t> choose_from(const std::vector<std::size_t>& pool,
                                           const route_query& query, instant now);
    backend_state* find(const backend_id& id);
    void index_offers(std::size_t slot);
    void unindex_offers(std::size_t slot);
    void remove_backend(const backend_id& id);

    router_options options_;
    random_fn random_;
    std::vector<std::optional<backend_state>> backends_;
    std::vector<std::size_t> free_slots_;
    std::map<backend_id, std::size_t> slot_of_;
    std::map<node_id, std::vector<backend_id>> backends_of_agent_;
    std::unordered_map<model_version, std::vector<std::size_t>, model_version_hash> pools_;
    std::unordered_map<std::uint64_t, std::size_t>
        slot_of_prefix_; ///< slot of the backend server that last got the prefix
    std::uint64_t next_turn_ = 0;
    double mean_total_us_ = 0; ///< moving average of the time of whole answers, all backend servers
};

} // namespace hickorypost::routing

#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hickorypost::routing {

/// How a backend server is chosen. All but `expected_time` are baselines to measure against.
enum class policy : std::uint8_t {
    expected_time, ///< lowest expected time to first token among a few sampled candidates
    random,
    round_robin,
    least_in_flight,
    power_of_two,
};

std::optional<policy> parse_policy(std::string_view name) noexcept;

/// How time to first token grows with load and prompt, in microseconds.
struct engine_profile {
    double step_us = 3000;
    double per_sequence_us = 250;
    double per_prompt_token_us = 25;
    double cached_prompt_share = 0.8; ///< of the prompt's cost, saved by a cached prefix
    /// What a further request costs those that already run there, for each of them. Without it a
    /// cached prefix would draw request after request onto one replica.
    double crowding_us = 1000;
};

struct router_options {
    policy how = policy::expected_time;
    /// Candidates looked at per choice; keeps a choice's cost flat as the fleet grows.
    std::size_t samples = 12;
    /// What a step and a prompt token cost on an ordinary replica. Only their proportions matter:
    /// each backend server's own factor on top is learned.
    engine_profile profile;
    /// A new or returning backend server reaches its full share of work over this time.
    millis slow_start{3000};
    /// After a failure a backend server is tried again after this long, doubling up to the longest.
    millis first_probation{500};
    millis longest_probation{30'000};
    /// Prefix hashes remembered per backend server.
    std::size_t remembered_prefixes = 4096;
};

/// A backend server behind its agent.
struct backend_id {
    node_id agent;
    std::string backend;

    friend auto operator<=>(const backend_id&, const backend_id&) = default;
    friend bool operator==(const backend_id&, const backend_id&) = default;
};

struct route_query {
    model_version target;
    /// Hash of the prompt's beginning, or of the session; 0 if there is nothing to reuse.
    std::uint64_t prefix = 0;
    double prompt_tokens = 200;
    /// Backend servers that this request has tried already.
    std::vector<backend_id> excluded;
};

struct route_choice {
    backend_id backend;
    incarnation agent_life = 0;
    /// Time to first token on an ordinary replica in this one's state; goes into the report.
    micros modelled_first{0};
};

/// How one attempt went, as the router learns from it.
struct attempt_report {
    bool failed = false; ///< the backend server or the way to it is at fault
    std::optional<micros> first_token;
    micros modelled_first{0}; ///< as `choose` gave it; 0: teaches nothing about speed
    micros total{0};
};

/// An entry's table of backend servers, and the choice among them. Sans I/O.
///
/// Load reports lag, so they only tell how much others have there on average; what this entry has
/// there itself is known exactly and at once.
class router {
public:
    router(router_options options, random_fn random);

    /// Takes an agent's announcement; its backend servers that are no longer named are removed.
    void upsert(const wire::agent_info& agent, instant now);
    void remove(const node_id& agent);
    /// Backend servers of an agent without a link are not chosen.
    void set_linked(const node_id& agent, bool linked, instant now);

    std::optional<route_choice> choose(const route_query& query, instant now);

    void started(const backend_id& id, std::uint64_t prefix, instant now);
    void ended(const backend_id& id, const attempt_report& report, instant now);
    /// A load report: how much the backend server runs and queues in all.
    void apply_load_report(const backend_id& id, std::uint32_t running, std::uint32_t queued);
    /// The engine said that it dropped a prefix (cache events come late and with gaps).
    void forget_prefix(const backend_id& id, std::uint64_t prefix);

    [[nodiscard]] std::size_t size() const noexcept { return backends_.size(); }
    [[nodiscard]] std::size_t candidates(const model_version& target) const;
    [[nodiscard]] std::uint32_t in_flight(const backend_id& id) const;

private:
    struct backend_state {
        backend_id id;
        incarnation life = 0;
        std::vector<model_version> offers;
        std::uint32_t slots = 1;
        bool leaving = false;
        bool linked = false;
        instant since; ///< start of its slow start
        std::uint32_t own = 0;
        double others = 0;   ///< running mean of what other entries have there
        double slowness = 1; ///< learned: time to first token against the model's
        std::uint64_t answers = 0;
        std::uint32_t failures = 0;
        instant probation_until;
        bool probing = false;
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
    std::map<node_id, std::vector<backend_id>> of_agent_;
    std::unordered_map<model_version, std::vector<std::size_t>, model_version_hash> pools_;
    std::unordered_map<std::uint64_t, std::size_t>
        prefix_home_; ///< last backend server of a prefix
    std::uint64_t turn_ = 0;
    double total_us_ = 0; ///< running mean of whole answers' times, over all backend servers
};

} // namespace hickorypost::routing

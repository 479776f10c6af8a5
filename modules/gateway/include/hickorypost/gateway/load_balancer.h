#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/way_quality.h"
#include "hickorypost/scheduling/engine_speed.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

/// A part of a prompt. Engines keep its KV cache under the id.
struct prompt_part {
    std::uint64_t id = 0;
    double tokens = 0;
};

/// Parts that other requests may share: all but the last, which is specific to the request.
[[nodiscard]] inline std::span<const prompt_part> shared_parts(std::span<const prompt_part> parts)
{
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

/// Estimated resource demand of a request, known before it runs.
struct job_size {
    double prompt_tokens = 0; ///< 0 for a request to a plain (non-LLM) service
    double output_tokens = 0;
    double pace = 1; ///< slowdown of the model against a reference model
    std::string model;
    std::vector<prompt_part> parts; ///< in prompt order
    bool suspect = false;           ///< the request may crash the backend server that runs it
    double engine_memory = 0;       ///< KV cache of each candidate, in tokens; 0: unknown
};

/// Work on a backend server, as gateway processes report it to each other.
struct remote_load {
    double requests = 0;
    double prefill_ms = 0;          ///< pending prefill of requests that have no first event yet
    double connections = 0;         ///< open ones; hosts of earlier releases report none
    scheduling::speed_sample speed; ///< event intervals; hosts of earlier releases report none
    double tokens = 0; ///< KV cache that the requests need; hosts of earlier releases report none
};

/// Outcome of one attempt, from which the balancer updates its statistics.
enum class attempt_result : std::uint8_t {
    answered,    ///< any response that is not a failure of the backend server
    failed,      ///< the request ran and failed
    refused,     ///< the backend server had no capacity
    unreachable, ///< no connection, or no response in time
    dropped,     ///< cancelled by this gateway
};

struct balancer_settings {
    /// Prefill rate of a reference engine. Only its ratio to the other costs matters.
    double prompt_tokens_per_ms = 100;
    /// Cost of attention, which grows with the square of the prompt length: milliseconds per
    /// (1,000 tokens) squared on a reference engine. For a prompt of 50,000 tokens attention nearly
    /// doubles the prefill time, which delays every concurrent stream.
    double quadratic_prefill_ms = 0.15;
    /// Cost to a new request of each stream that runs concurrently, in milliseconds.
    double per_stream_ms = 1.0;
    /// Prefill up to this many milliseconds pauses running streams only briefly.
    double tolerated_prefill_ms = 300;
    /// Cost in milliseconds of each millisecond of prefill beyond `tolerated_prefill_ms`, for each
    /// running stream.
    double stream_delay_factor = 0.03;
    /// Assumed mean time that a stream occupies its slot until the first measurement.
    double slot_ms = 2000;
    /// Assumed mean service time of a plain service until the first measurement. Also the extra
    /// cost of a backend server that is still cold.
    double service_ms = 25;
    /// Half-life of the difference between a plain backend server's mean service time and that of
    /// the fastest one, while it gets no requests. The decay lets an idle backend server be
    /// measured again.
    millis service_half_life{1000};
    /// Cost, to a request that may crash the backend server, of each request that runs
    /// concurrently.
    double suspect_concurrency_ms = 50;
    /// Extra cost of a backend server in another failure domain: two link delays and
    /// more expensive traffic.
    double other_domain_ms = 4;
    /// Cost of a failure domain from which all streams arrive with network delays.
    double impaired_path_ms = 500;
    /// Place prompts with shared parts on the same engine by rendezvous hashing.
    bool use_rendezvous_hashing = true;
    /// Include the load that other gateway processes report.
    bool use_remote_load = true;
    /// Use the measured speeds of the engines.
    bool use_engine_speed = true;
    /// Share of an engine's KV cache that requests in flight may fill: an engine whose memory runs
    /// out preempts requests or crashes, and the lengths of answers are only estimated.
    double memory_share = 0.9;
    /// Add the expected wait for a free slot to the cost of an engine whose slots are all in use.
    bool count_slot_wait = true;
    /// Time for which engines keep a prompt part cached after its last use.
    millis prefix_memory{15'000};
    /// Cost reduction for each cached prompt token, in multiples of its prefill time.
    double prefix_weight = 5;
    /// Backoff after an unreachable backend server; doubles with each consecutive failure, up to
    /// `longest_probation`.
    millis first_probation{400};
    millis longest_probation{5000};
    /// Backoff after a backend server has rejected a request without naming a time. Doubles with
    /// each further rejection until it accepts a request, up to `max_saturation_backoff`: a backend
    /// server that rejects everything has no load and would attract requests otherwise.
    millis first_saturation_backoff{60};
    millis max_saturation_backoff{2000};
    /// Weight of the newest result in a backend server's moving-average failure ratio.
    double failure_weight = 0.1;
    /// A backend server whose failure ratio exceeds the mean of all candidates by more than this is
    /// avoided.
    double failure_margin = 0.15;
    /// The failure ratio stays constant for `failure_hold` after the last request, then halves
    /// every `failure_half_life`, so that a backend server that is avoided for its failures is
    /// measured again.
    millis failure_hold{5000};
    millis failure_half_life{2000};
};

/// Chooses the backend server with the lowest expected latency.
///
/// Load from this process counts immediately, load from other gateway processes as they report it.
/// Ties are broken at random because many processes see the same reports. Prompts that share parts
/// are placed on the same engine by rendezvous hashing. Performs no I/O itself.
class load_balancer {
public:
    /// Called whenever this process's own load on a backend server changes.
    using changed_fn = std::function<void(const std::string& backend, const remote_load& own)>;

    load_balancer(balancer_settings settings, std::string own_domain, random_fn random,
                  changed_fn changed);

    /// State of one attempt, from `started` to `ended`.
    struct ticket {
        std::string backend;
        double prefill_ms = 0;
        bool streaming = false;
        bool has_first_event = false;
        instant started;
        std::string failure_domain;
        bool delayed = false;            ///< the network delayed its events at least once
        instant first_event_at;          ///< time of the first event
        std::uint32_t speed_samples = 0; ///< event intervals recorded as the engine's speed
        double tokens = 0;               ///< KV cache that the request needs
        double expected_first_ms = 0;    ///< expected time until the first event
    };

    /// Returns the candidate with the lowest cost that is not in `tried`; null if none is left.
    const backend_entry* choose(std::span<const backend_entry* const> candidates,
                                const job_size& job, std::span<const std::string> tried,
                                instant now);
    /// Accounts for an attempt that is sent to `on`.
    ticket started(const backend_entry& on, const job_size& job, instant now);
    /// The first event of a stream, or the head of a plain response, has arrived. Later calls for
    /// the same attempt have no effect.
    void on_first_event(ticket& it, instant now);
    /// `events` events of a stream arrived together, `gap` after the previous one.
    void on_stream_events(ticket& it, std::uint64_t events, micros gap, instant now);
    /// Removes the attempt's load and records its outcome.
    void ended(ticket& it, attempt_result how, instant now);

    /// Prefill time in milliseconds on a reference engine that has `cached` tokens of the prompt
    /// cached.
    [[nodiscard]] double prefill_ms(const job_size& job, double cached) const;
    /// Estimated pending prefill time of a backend server, from local and reported load.
    /// Expected milliseconds until an engine begins the prefill of a new request.
    [[nodiscard]] double expected_wait_ms(const backend_entry& on) const;
    /// Expected milliseconds until the first event of a request that is sent to `on` now.
    [[nodiscard]] double expected_first_event_ms(const backend_entry& on, const job_size& job,
                                                 instant now);
    /// Least expected wait of the candidates that are available and have memory for the request.
    [[nodiscard]] double least_wait_ms(std::span<const backend_entry* const> candidates,
                                       const job_size& job, instant now) const;
    /// Speed and load of one backend server, for operators.
    struct backend_view {
        double requests = 0;   ///< of all processes
        double prefill_ms = 0; ///< pending, of all processes, on a reference engine
        double slowdown = 1;   ///< against the median of the last choice's candidates
        double tokens = 0;     ///< KV cache of the requests in flight
    };
    [[nodiscard]] backend_view view(const std::string& backend) const;
    [[nodiscard]] millis prefill_left(const std::string& backend) const;
    /// Whether the backend server has rejected a request and its saturation backoff has not passed.
    [[nodiscard]] bool is_saturated(const std::string& backend, instant now) const;
    /// Sets the load of all other gateway processes on a backend server.
    void set_remote_load(const std::string& backend, const remote_load& remote);
    /// Called after each `set_remote_load`.
    std::function<void()> on_remote_load = [] {};
    /// Connections that other processes have open to a backend server, one for each request at
    /// least.
    [[nodiscard]] double remote_connections(const std::string& backend) const;
    /// Drops all statistics of a backend server.
    void forget(const std::string& backend);

private:
    struct backend_load {
        double requests = 0;
        double prefill_ms = 0;
        double tokens = 0;
        remote_load remote; ///< load of all other processes
        scheduling::engine_speed speed{{}};
        double slowdown = 1;       ///< against the median engine, as of the last choice
        double failure_ratio = 0;  ///< moving average at `last_request_at`
        double service_ms = 0;     ///< moving average; 0: no sample yet
        double service_weight = 1; ///< weight of that average, decays while idle
        instant last_request_at;   ///< when the last request was sent
        std::uint32_t consecutive_unreachable = 0;
        instant probation_until;
        std::uint32_t consecutive_rejections = 0;
        instant saturated_until;
        std::unordered_map<std::uint64_t, instant> parts; ///< last use, by `part_key`
    };
    /// A backend server under consideration and its load.
    struct candidate {
        const backend_entry* entry = nullptr;
        backend_load* load = nullptr;
    };
    /// Statistics over all candidates of one choice, against which each is rated.
    struct baseline {
        double failures = 0;   ///< mean failure ratio
        double service_ms = 0; ///< of the fastest; assumed for unmeasured candidates
    };

    /// Passes this process's load on a backend server to `changed_`.
    void report_change(const std::string& backend, const backend_load& load);
    void collect_candidates(std::span<const backend_entry* const> candidates);
    /// Updates the slowdowns of the candidates.
    void compute_slowdowns();
    /// Ratio of actual to expected times until first events.
    [[nodiscard]] double calibration() const;
    void calibrate(double expected_ms, double actual_ms);
    void compute_part_keys(const job_size& job);
    /// The candidate that ranks highest by rendezvous hashing of the shared parts; null if the
    /// prompt has none.
    [[nodiscard]] const backend_entry* preferred_engine() const;
    [[nodiscard]] baseline compute_baseline(instant now) const;
    [[nodiscard]] double cost_ms(const candidate& at, const job_size& job, const baseline& base,
                                 instant now) const;
    /// Expected service time of a plain request.
    [[nodiscard]] double expected_service_ms(const backend_load& load, const baseline& base,
                                             instant now) const;
    /// Whether the engine's memory may run out if the request is sent there.
    [[nodiscard]] bool lacks_memory(const backend_load& load, const job_size& job) const;
    /// The failure ratio, decayed by the time since the last request.
    [[nodiscard]] double decayed_failure_ratio(const backend_load& load, instant now) const;
    /// Expected number of prompt tokens that the engine has cached.
    [[nodiscard]] double cached_tokens(const backend_load& load, const job_size& job,
                                       bool is_preferred, instant now) const;

    balancer_settings settings_;
    std::string own_domain_;
    random_fn random_;
    std::unordered_map<std::string, backend_load> loads_;
    changed_fn changed_;
    way_quality path_quality_{{}};
    double slot_ms_; ///< moving average of the time that a stream occupies its slot
    /// Sums of actual and expected times until first events, with exponential decay. Their ratio
    /// calibrates `prefill_ms` to the engines.
    double actual_first_ms_ = 0;
    double expected_first_ms_ = 0;
    std::vector<candidate> candidates_;    ///< of the current choice
    std::vector<double> intervals_;        ///< event intervals of `candidates_`; scratch space
    std::vector<std::uint64_t> part_keys_; ///< of the shared parts of the current prompt
};

} // namespace hickorypost::gateway

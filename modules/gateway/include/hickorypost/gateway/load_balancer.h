#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/way_quality.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

/// A part of a prompt, which engines keep in memory under its id.
struct prompt_part {
    std::uint64_t id = 0;
    double tokens = 0;
};

/// What a request asks of a backend server, as far as it is known before it runs.
struct job_size {
    double prompt_tokens = 0; ///< 0: a plain service's request
    double output_tokens = 0;
    double pace = 1; ///< how much slower its model is than an ordinary one
    std::string model;
    std::vector<prompt_part> parts; ///< leading parts first
    bool suspect = false;           ///< it may crash the backend server that runs it
};

/// Work on a backend server, as processes tell each other.
struct remote_load {
    double requests = 0;
    double prefill_ms = 0; ///< time to read the prompts of requests without a first event
};

/// How one attempt ended, as the balancer learns from it.
enum class attempt_result : std::uint8_t {
    answered,    ///< with any answer of the backend server that is not its failure
    failed,      ///< it ran and failed
    refused,     ///< full
    unreachable, ///< no connection, or silence
    dropped,     ///< given up by this side
};

struct balancer_settings {
    /// Prompt tokens that an ordinary engine reads in a millisecond. Only proportions matter.
    double prompt_tokens_per_ms = 100;
    /// Attention grows with the square of a prompt: milliseconds for (1,000 tokens) squared, on an
    /// ordinary engine. A prompt of 50,000 tokens takes nearly as long again for it, and delays
    /// each stream that runs beside it.
    double square_ms = 0.15;
    /// What one more running stream costs a new request, in milliseconds.
    double stream_ms = 1.0;
    /// Prefill of this many milliseconds delays running streams by a short pause only.
    double unnoticed_reading_ms = 600;
    /// Cost of each millisecond of prefill beyond that, for each running stream.
    double held_up_ms = 0.03;
    /// Mean time that a stream occupies its slot, before any was measured.
    double slot_ms = 2000;
    /// Mean service time of a plain service's request before any was measured.
    double service_ms = 25;
    /// The excess of a plain backend server's mean service time over the fastest one's halves in
    /// each such time without a request, so that an idle one is measured again.
    millis service_half_life{1000};
    /// Cost, for a suspect, of each request that runs concurrently.
    double suspect_beside_ms = 50;
    /// Extra cost of a backend server in another failure domain: two link delays and dearer bytes.
    double other_domain_ms = 4;
    /// Cost of a failure domain from which all streams arrive delayed.
    double bad_way_ms = 500;
    /// Prompts with shared parts meet on one engine by hashing.
    bool home_by_hash = true;
    /// Work that other processes report counts.
    bool heeds_others = true;
    /// Requests beyond an engine's slots wait.
    bool waits_for_slots = true;
    /// Time for which engines keep a prompt part cached after its last use.
    millis prefix_memory{15'000};
    /// Value of a cached prompt token, in multiples of its prefill time.
    double prefix_weight = 5;
    /// Time until an unreachable backend server is tried again; doubles up to the longest.
    millis first_probation{400};
    millis longest_probation{5000};
    /// Weight of the newest result in a backend server's running failure ratio.
    double failure_weight = 0.1;
    /// A backend server that fails this much more often than the service as a whole is avoided.
    double failure_margin = 0.15;
    /// A failure ratio holds for `failure_hold` after the last request, then halves in each
    /// `failure_half_life`: a backend server that is avoided for its failures is measured again.
    millis failure_hold{5000};
    millis failure_half_life{2000};
};

/// Chooses a backend server by the expected time until it answers.
///
/// This process' own work counts at once, other processes' from their reports. Ties are broken at
/// random, as many processes see the same reports. Prompts that share parts are placed on the same
/// engine by rendezvous hashing. Performs no I/O itself.
class load_balancer {
public:
    /// Called for each change of this process' own work on a backend server.
    using changed_fn = std::function<void(const std::string& backend, const remote_load& own)>;

    load_balancer(balancer_settings settings, std::string own_domain, random_fn random,
                  changed_fn changed);

    struct ticket {
        std::string backend;
        double prefill_ms = 0;
        bool streaming = false;
        bool first_seen = false;
        instant started;
        std::string failure_domain;
        bool held_up = false; ///< its events were delayed by the network at least once
        instant first_at;     ///< its first event
    };

    /// The best candidate that is not in `tried`; null if none is left.
    const backend_entry* choose(std::span<const backend_entry* const> candidates,
                                const job_size& job, std::span<const std::string> tried,
                                instant now);
    ticket started(const backend_entry& on, const job_size& job, instant now);
    void on_first_event(ticket& it, instant now);
    /// Events of a stream came together, `gap` after the one before.
    void on_stream_events(ticket& it, std::uint64_t events, micros gap, instant now);
    void ended(ticket& it, attempt_result how, instant now);

    /// Milliseconds that an ordinary engine takes to read a prompt of which `cached` tokens are
    /// kept.
    [[nodiscard]] double prefill_ms(const job_size& job, double cached) const;
    /// How long a backend server still reads prompts, by what this process knows of all work there.
    [[nodiscard]] millis prefill_left(const std::string& backend) const;
    /// The work of all other processes on a backend server.
    void set_remote_load(const std::string& backend, const remote_load& others);
    void forget(const std::string& backend);

private:
    struct backend_load {
        double requests = 0;
        double prefill_ms = 0;
        remote_load others;       ///< all other processes' work
        double failure_ratio = 0; ///< running ratio at `asked_at`
        double service_ms = 0;    ///< running mean; 0: none yet
        double service_trust = 1; ///< weight of that mean, decays without requests
        instant asked_at;         ///< when it last got a request
        std::uint32_t misses = 0;
        instant probation_until;
        instant full_until;
        std::unordered_map<std::uint64_t, instant> parts; ///< by part and model
    };
    /// A candidate with what is known of it.
    struct option {
        const backend_entry* entry = nullptr;
        backend_load* load = nullptr;
    };
    /// What all candidates have in common for one choice.
    struct comparison {
        double failures = 0;   ///< mean failure ratio
        double service_ms = 0; ///< of the fastest, and of one that was not measured yet
    };

    void set_options(std::span<const backend_entry* const> candidates);
    void set_part_keys(const job_size& job);
    /// The candidate on which prompts with these parts meet; null if there are none.
    [[nodiscard]] const backend_entry* home() const;
    [[nodiscard]] comparison compare(instant now) const;
    [[nodiscard]] double cost_ms(const option& at, const job_size& job, const comparison& all,
                                 instant now) const;
    /// What a plain request is likely to take there.
    [[nodiscard]] double expected_service_ms(const backend_load& load, const comparison& all,
                                             instant now) const;
    /// The failure ratio as far as it still holds.
    [[nodiscard]] double failures_now(const backend_load& load, instant now) const;
    [[nodiscard]] double cached_tokens(const backend_load& load, const job_size& job, bool is_home,
                                       instant now) const;

    balancer_settings settings_;
    std::string own_domain_;
    random_fn random_;
    std::unordered_map<std::string, backend_load> loads_;
    changed_fn changed_;
    way_quality ways_{{}};
    double slot_ms_;              ///< running mean of the time that a stream keeps its slot
    std::vector<option> options_; ///< of the choice being made
    std::vector<std::uint64_t> part_keys_; ///< of the shared parts of its prompt
};

} // namespace hickorypost::gateway

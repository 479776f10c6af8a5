#pragma once

#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/control_state.h"
#include "hickorypost/gateway/running_quantile.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorypost::gateway {

/// Answers of one version of a service that one process has counted since its last report.
struct version_tally {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;   ///< failures, and answers far slower than the other version's
    std::uint64_t paced = 0; ///< answers whose pace was measured (see `rollout_view::record_pace`)
    std::uint64_t slow = 0;  ///< of `paced`: noticeably above the old version's upper quartile
};

/// An answer that counts for or against the version that gave it.
struct answer_sample {
    std::string service;
    std::string route;
    std::string model; ///< empty if the service runs no model
    std::string version;
    bool failed = false;
    /// From the sending of the attempt that was answered until its first event, or until the end of
    /// an answer that is no stream. Time lost by earlier attempts belongs to other backend servers.
    micros response_time{0};
    /// Estimated prefill time in milliseconds; 0 if the request has no prompt.
    double prefill_ms = 0;
};

/// Chooses in one process which version of a service a request goes to during a roll-out, and
/// counts the answers of each version for the leader. Performs no I/O itself.
class rollout_view {
public:
    /// `session_memory`: a session is forgotten after this long without a request.
    rollout_view(random_fn random, millis session_memory)
        : random_{std::move(random)}, session_memory_{session_memory}
    {
    }

    /// Takes the committed status of all roll-outs, by service.
    void follow(const std::map<std::string, rollout_status>& rollouts, instant now);
    /// Takes the committed incumbents and rolled-back versions, by service.
    void set_versions(const std::map<std::string, service_versions>& versions);
    /// The version that the control log should record as the incumbent of a service that has none:
    /// the version of most candidates, except versions that are on trial or were rolled back.
    /// Empty if the service has an incumbent or no candidate qualifies.
    [[nodiscard]] std::string
    find_incumbent(const std::string& service,
                   const std::vector<const backend_entry*>& candidates) const;
    /// Sessions that this process has sent to an old version and that other processes would move to
    /// the new one. Returns those added since the last call, for other processes to pin.
    std::vector<std::uint64_t> take_pinned(instant now);
    /// All sessions that are to stay on an old version, seen here or received from other processes.
    /// For a process that has just connected.
    [[nodiscard]] std::vector<std::uint64_t> pinned_sessions(instant now) const;
    /// Pins sessions that another process has sent to an old version. Returns those that were not
    /// pinned here yet or whose pin was renewed, to be passed on.
    std::vector<std::uint64_t> pin(const std::vector<std::uint64_t>& sessions, instant now);

    /// Reduces `candidates` to the version that this request goes to. A known session keeps its
    /// version through the first half of a roll-out.
    void choose_version(const std::string& service, const std::string& session,
                        std::vector<const backend_entry*>& candidates, instant now);
    /// Whether the version is the target of a running roll-out.
    [[nodiscard]] bool is_on_trial(const std::string& service, std::string_view version) const;
    /// Counts an answer, and compares its response time with the old version's.
    void saw(const answer_sample& answer);
    /// Records how quickly a version answers. `pace` is the mean interval between a stream's first
    /// events, or the duration of an answer that is no stream. Only values of the same `group`,
    /// such as a route, are compared.
    void record_pace(const std::string& service, const std::string& group,
                     const std::string& version, micros pace);
    /// The tally of one version of a service.
    struct report_row {
        std::string service;
        std::string version;
        version_tally seen;
    };
    /// Takes all tallies since the last report.
    std::vector<report_row> take_report();

private:
    struct session_record {
        std::string version;
        instant last_used;
        instant last_shared; ///< when it was last queued for other processes to pin
    };
    using session_map = std::unordered_map<std::uint64_t, session_record>;
    struct service_state {
        rollout_status status;
        bool known = false; ///< the service has had a roll-out
        service_versions versions;
        std::map<std::string, version_tally> tallies; ///< by version, since the last report
        /// Running mean of the old version's response time, divided by the estimated prefill time;
        /// by route and model.
        std::map<std::pair<std::string, std::string>, double> old_time_ratio;
        /// Upper quartile of the old version's pace in microseconds, by group.
        std::map<std::string, running_quantile> old_quartile;
        instant trial_start;      ///< this process applies the trial's share from then on
        std::uint32_t streak = 0; ///< bad answers of the new version, less its good ones; 0 or more
        bool tripped = false;     ///< `streak` reached its limit: no new work in this roll-out
        session_map sessions;     ///< by hash of the service's and the session's name
        std::vector<std::uint64_t> unshared; ///< sessions that other processes are to pin
        instant cleanup_due;
    };

    /// Whether a version is on trial or was rolled back. Such a version gets requests only by the
    /// share of its trial.
    [[nodiscard]] static bool is_withheld(const service_state& state, const std::string& version);
    [[nodiscard]] bool wants_target(const service_state& state, std::uint64_t session, instant now);
    [[nodiscard]] bool is_pinned(std::uint64_t session, instant now) const;
    /// Whether a process that doesn't know this session's version would move it to the new one.
    [[nodiscard]] bool needs_pin(const service_state& state, std::uint64_t session,
                                 const session_record& record, instant now) const;
    void note_session(service_state& state, std::uint64_t session, const std::string& version,
                      instant now);

    random_fn random_;
    millis session_memory_;
    std::map<std::string, service_state> services_;
    /// Sessions that other processes have sent to an old version, and when that was last received.
    std::unordered_map<std::uint64_t, instant> pinned_;
};

} // namespace hickorypost::gateway

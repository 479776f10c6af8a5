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

/// What one version of a service did, as one process saw it since its last report.
struct version_tally {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;   ///< failures, and answers far slower than the other version's
    std::uint64_t paced = 0; ///< answers whose pace was seen
    std::uint64_t slow = 0;  ///< of them, slower than three quarters of the old version's
};

/// An answer as evidence of its version.
struct seen_answer {
    std::string service;
    std::string route;
    std::string model; ///< empty: a plain service's
    std::string version;
    bool failed = false;
    /// From the sending of the attempt that gave it until its first event, or the whole of a plain
    /// answer. What other attempts took before says nothing of this version.
    micros took{0};
    /// Estimated prefill time in milliseconds; 0: it has no prompt.
    double reading_ms = 0;
};

/// One process's side of roll-outs: which versions of a service may get a request, and how
/// they answered it. Performs no I/O itself.
class rollout_view {
public:
    /// `session_memory`: how long after a request the next one belongs to the same session.
    rollout_view(random_fn random, millis session_memory)
        : random_{std::move(random)}, session_memory_{session_memory}
    {
    }

    void follow(const std::map<std::string, rollout_status>& rollouts, instant now);
    void set_versions(const std::map<std::string, service_versions>& versions);
    /// The version that the control log should name as the incumbent of a service without one: that
    /// of most candidates. Empty: it has one, or there is none that may be.
    [[nodiscard]] std::string
    find_incumbent(const std::string& service,
                   const std::vector<const backend_entry*>& candidates) const;
    /// Sessions that this process has seen on an old version and that a trial would move, since the
    /// last call: other processes must keep them there too.
    std::vector<std::uint64_t> take_pinned(instant now);
    /// All such sessions that are known here, for a process that has just been connected.
    [[nodiscard]] std::vector<std::uint64_t> pinned_sessions(instant now) const;
    /// Sessions that another process has seen on an old version. Returns those that are news.
    std::vector<std::uint64_t> pin(const std::vector<std::uint64_t>& sessions, instant now);

    /// Leaves the candidates of the version that this request goes to. A session that is known
    /// keeps its version through the first half of a roll-out.
    void choose_version(const std::string& service, const std::string& session,
                        std::vector<const backend_entry*>& candidates, instant now);
    void saw(const seen_answer& answer);
    /// How quickly a version answers: the mean interval of a stream's first events, or the whole of
    /// a plain answer. `like`: what it is compared with, as requests of one route.
    void record_pace(const std::string& service, const std::string& like,
                     const std::string& version, micros pace);
    /// Takes the tallies of services with a running roll-out, by service and whether the version is
    /// the new one.
    struct report_row {
        std::string service;
        std::string version;
        version_tally seen;
    };
    std::vector<report_row> take_report();

private:
    struct session_mark {
        std::string version;
        instant used;
        instant shared; ///< when it was last broadcast
    };
    using session_map = std::unordered_map<std::uint64_t, session_mark>;
    struct service_view {
        rollout_status status;
        bool known = false;
        service_versions versions;
        std::map<std::string, version_tally> tallies; ///< by version, since the last report
        /// Running mean of the old version's time to the first event over the estimated prefill
        /// time, by route and model.
        std::map<std::pair<std::string, std::string>, double> old_pace;
        /// Upper quartile of the old version's pace in microseconds, by what is compared.
        std::map<std::string, running_quantile> old_quartile;
        instant trial_from;       ///< the trial's share applies from then on in this process
        std::uint32_t streak = 0; ///< bad answers of the new version lately
        bool tripped = false;     ///< too many: no new work until the leader decides
        session_map sessions;     ///< by hash of the service's and the session's name
        std::vector<std::uint64_t> unshared; ///< to be pinned by other processes
        instant clean_due;
    };

    /// On trial, or returned: gets requests by its trial's share only.
    [[nodiscard]] static bool is_withheld(const service_view& it, const std::string& version);
    [[nodiscard]] bool wants_target(const service_view& it, std::uint64_t session, instant now);
    [[nodiscard]] bool is_pinned(std::uint64_t session, instant now) const;
    /// Whether a trial would move this session if it weren't known on its old version.
    [[nodiscard]] bool needs_pin(const service_view& it, std::uint64_t session,
                                 const session_mark& mark, instant now) const;
    void note_session(service_view& it, std::uint64_t session, const std::string& version,
                      instant now);

    random_fn random_;
    millis session_memory_;
    std::map<std::string, service_view> services_;
    /// Sessions on an old version at other processes, and when that was last received.
    std::unordered_map<std::uint64_t, instant> pinned_;
};

} // namespace hickorypost::gateway

#pragma once

#include "gateway/caller_server.h"
#include "hickorypost/gateway/exchange.h"
#include "runtime.h"

namespace hickorypost {

/// Writes log lines and metrics of requests. The lines of failed requests and those of successful
/// requests have separate rate limits; the limit of failures is ten times as high. Suppressed lines
/// are counted.
class request_journal {
public:
    request_journal(runtime& env, double lines_per_second);

    /// Records a request that has ended, answered or not.
    void finished(const gateway::exchange_record& record);
    /// Records a request that was refused before any attempt.
    void rejected(const gateway::caller_request& request, unsigned status, std::string_view why,
                  std::uint64_t config_version);
    /// Records a decision about a request. `what` is the part of the event name after "request_".
    void decision(const gateway::exchange_record& record, std::string_view what,
                  std::string_view why);
    /// Records that a backend server ended while this request was in flight there. `crashes`:
    /// number of crashes that count against the request; `known`: number of known crashes during
    /// which the request was in flight, whether they count against it or not.
    void crashed(const gateway::crashed_attempt& attempt, std::uint32_t crashes, std::size_t known);
    /// Records the result of a crash check: the connection of a request in flight was lost, and the
    /// backend server refused or accepted a new one.
    void crash_checked(std::string_view backend, bool refused);
    /// Records that heartbeats have shown that a backend server has not crashed.
    void crash_refuted(std::string_view backend, std::size_t requests);
    /// Records that a new caller's connection was closed unread.
    void connection_refused(std::string_view reason);
    /// Records that a request or a prompt part is refused from now on.
    void suspect_refused(const gateway::request_identity& suspect, std::uint32_t crashes,
                         std::size_t known);
    /// Records that a backend server's request limit has begun, changed or ended.
    void limit_changed(const gateway::limit_change& change);
    /// A backend server has asked this host to send no requests for a time.
    void backoff_requested(const gateway::backoff_request& backoff);
    /// Records a connection that was closed although its caller may not have received its whole
    /// answer.
    void lost(const connection_loss& loss);
    /// The host accepts no connections of callers for some milliseconds, because it is overloaded.
    void listen_paused();
    /// The main loop spent `duration` in one iteration, in which it opened and closed unread this
    /// many connections of callers.
    void long_iteration(micros duration, std::uint64_t opened, std::uint64_t refused);
    /// Call once a second. Renews the line budgets and logs how many lines were suppressed.
    void tick();

private:
    bool may_write(bool failure);

    runtime& env_;
    double lines_per_second_;
    double ordinary_budget_;
    double failure_budget_;
    std::uint64_t listen_pauses_ = 0; ///< in this second
    std::uint64_t suppressed_ordinary_ = 0;
    std::uint64_t suppressed_failures_ = 0;
};

} // namespace hickorypost

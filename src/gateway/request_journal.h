#pragma once

#include "gateway/caller_server.h"
#include "hickorypost/gateway/exchange.h"
#include "runtime.h"

namespace hickorypost {

/// Log lines and metrics of requests. Failures are always preferred: lines for what went well are
/// bounded by a rate, and what was left out is counted.
class request_journal {
public:
    request_journal(runtime& env, double lines_per_second);

    void finished(const gateway::exchange_record& record);
    /// Refused before any attempt.
    void rejected(const gateway::caller_request& request, unsigned status, std::string_view why,
                  std::uint64_t config_version);
    void decision(const gateway::exchange_record& record, std::string_view what,
                  std::string_view why);
    /// A backend server has ended while this request was in flight there.
    /// `crashes`: that count against the request; `known`: that it was in flight in.
    void crashed(const gateway::crashed_attempt& attempt, std::uint32_t crashes, std::size_t known);
    /// The connection of a request in flight was lost, and a new one was refused or accepted.
    void crash_checked(std::string_view backend, bool refused);
    /// Heartbeats show that a backend server has not crashed.
    void crash_refuted(std::string_view backend, std::size_t requests);
    /// A backend server's limit has begun, changed or ended.
    void limit_changed(const gateway::limit_change& change);
    /// A connection was closed while its caller was owed an answer.
    void lost(const connection_loss& loss);
    /// Once a second: renews the line budgets and logs how many lines were left out.
    void tick();

private:
    bool may_write(bool failure);

    runtime& env_;
    double ordinary_per_second_;
    double ordinary_left_;
    double failures_left_;
    std::uint64_t left_out_ = 0;
    std::uint64_t failures_left_out_ = 0;
};

} // namespace hickorypost

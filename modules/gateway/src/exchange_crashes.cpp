/// Request lifecycle, part four: backend servers that crash during an attempt, and requests that
/// are known to crash backend servers.

#include "hickorypost/gateway/exchange.h"

#include <utility>

namespace hickorypost::gateway {

namespace {

/// Callers do not retry a request after this status.
constexpr unsigned status_bad_request = 400;

} // namespace

identity_parts exchange::request_parts() const
{
    return {record_.account, request_.host, request_.method, request_.target, request_.body};
}

const request_identity& exchange::identity()
{
    if (!record_.identity) {
        record_.identity = identity_of(request_parts());
    }
    return *record_.identity;
}

crash_ledger::standing exchange::standing()
{
    if (services_.suspects.empty() ||
        !services_.suspects.may_contain(outline_of(request_parts()))) {
        return crash_ledger::standing::unknown;
    }
    return services_.suspects.standing_of(identity());
}

void exchange::attempt_broke(std::string_view why)
{
    // The next attempt waits until it is known whether the backend server of this one crashed, as a
    // request that crashes backend servers must not be sent again.
    const bool waits = is_retryable();
    crash_watch::result_fn proceed;
    if (waits) {
        proceed = [this, why](bool) {
            crash_check_id_ = 0;
            continue_after_break(why);
        };
    }
    crashed_attempt attempt{record_.backend, record_.service, record_.id,
                            identity(),      crashes_before_, {}};
    for (const auto& part : shared_parts(request_.parts)) {
        attempt.parts.push_back(part.id);
    }
    crash_check_id_ =
        services_.crashes.attempt_broke(target_, std::move(attempt), std::move(proceed));
    if (!waits) {
        crash_check_id_ = 0;
        continue_after_break(why);
    }
}

void exchange::continue_after_break(std::string_view why)
{
    if (stage_ != stage::relaying) {
        failure_head_.reset();
    }
    resume_or_retry(why);
}

void exchange::clear_crash_suspicion()
{
    if (detail::is_success(head_.status) && standing() != crash_ledger::standing::unknown) {
        services_.suspects.clear(identity());
    }
}

void exchange::reject_as_crashing()
{
    constexpr std::string_view why = "request crashes the backend servers that run it";
    if (stage_ == stage::relaying) {
        caller_.break_off();
        finish(exchange_outcome::broken_off, head_.status, why);
        return;
    }
    caller_.respond(gateway_response(status_bad_request),
                    "This request has crashed the backend servers that ran it.\n");
    finish(may_have_run_ ? exchange_outcome::failed : exchange_outcome::rejected,
           status_bad_request, why);
}

} // namespace hickorypost::gateway

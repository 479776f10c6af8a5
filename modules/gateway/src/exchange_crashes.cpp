/// Request lifecycle, part four: backend servers that crash during an attempt, and requests that
/// are known to crash backend servers.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>
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

std::span<const prompt_part> exchange::suspect_parts() const
{
    const auto parts = shared_parts(request_.parts);
    return parts.first(std::min(parts.size(), services_.suspects.settings().max_suspect_parts));
}

std::vector<request_identity> exchange::known_suspects()
{
    std::vector<request_identity> out;
    const auto& ledger = services_.suspects;
    if (ledger.empty()) {
        return out;
    }
    if (ledger.may_contain(outline_of(request_parts()))) {
        out.push_back(identity());
    }
    if (ledger.may_contain(part_outline)) {
        for (const auto& part : suspect_parts()) {
            out.push_back(identity_of_part(part.id));
        }
    }
    return out;
}

crash_ledger::judgement exchange::judge()
{
    const auto suspects = known_suspects();
    return suspects.empty() ? crash_ledger::judgement{} : services_.suspects.judge(suspects);
}

void exchange::record_known_crashes()
{
    const auto& ledger = services_.suspects;
    crashes_before_ = 0;
    if (!ledger.empty() && ledger.may_contain(outline_of(request_parts()))) {
        crashes_before_ = ledger.crashes(identity());
    }
    attempted_parts_.clear();
    for (const auto& part : suspect_parts()) {
        const std::size_t known = ledger.known_crashes(identity_of_part(part.id));
        attempted_parts_.push_back({part.id, static_cast<std::uint32_t>(known)});
    }
}

void exchange::attempt_broke(std::string_view why)
{
    // The next attempt waits until it is known whether the backend server of this one crashed, as a
    // request that crashes backend servers must not be sent again.
    const bool waits = is_retryable();
    crash_watch::result_fn proceed;
    if (waits) {
        proceed = [this, why](bool ended) {
            crash_check_id_ = 0;
            connection_was_stale_ = connection_was_stale_ && !ended;
            continue_after_break(why);
        };
    }
    crashed_attempt attempt{record_.backend, record_.service, record_.id,
                            identity(),      crashes_before_, attempted_parts_};
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
    // Where an answer ends with its connection, a crash may look like its end. Streams end inside
    // an event then, which is checked before.
    const bool may_be_cut =
        head_.body == http1::framing::until_close && route_.kind != request_kind::streaming;
    if (!detail::is_success(head_.status) || may_be_cut) {
        return;
    }
    auto& ledger = services_.suspects;
    for (const auto& part : suspect_parts()) {
        ledger.part_succeeded(part.id);
    }
    if (!ledger.empty() && ledger.may_contain(outline_of(request_parts()))) {
        ledger.clear(identity());
    }
}

std::vector<request_identity> exchange::refused_in_flight()
{
    auto it = judge();
    const bool refused = it.result == crash_ledger::standing::refused && !is_trial_;
    return refused ? std::move(it.culprits) : std::vector<request_identity>{};
}

bool exchange::may_send()
{
    return refused_in_flight().empty();
}

void exchange::suspects_changed()
{
    // An answer whose events arrive has survived what crashes other attempts.
    if (finished_ || !current_attempt_ || stage_ == stage::relaying) {
        return;
    }
    if (const auto culprits = refused_in_flight(); !culprits.empty()) {
        may_have_run_ = true;
        end_attempt(attempt_result::dropped);
        reject_as_crashing(culprits);
    }
}

void exchange::reject_as_crashing(std::span<const request_identity> culprits)
{
    std::string names;
    for (const auto& it : culprits) {
        if (is_part(it)) {
            record_.crashing_parts.push_back(it.digest);
            names += (names.empty() ? "" : ",") + part_text(it.digest);
        }
    }
    const std::string why =
        names.empty() ? "request crashes the backend servers that run it"
                      : "prompt part " + names + " crashes the backend servers that run it";
    if (stage_ == stage::relaying) {
        caller_.break_off();
        finish(exchange_outcome::broken_off, head_.status, why);
        return;
    }
    std::string text = names.empty() ? "This request has crashed the backend servers that ran it.\n"
                                     : "Requests with the prompt part " + names +
                                           " have crashed the backend servers that ran them.\n";
    caller_.respond(gateway_response(status_bad_request), std::move(text));
    finish(may_have_run_ ? exchange_outcome::failed : exchange_outcome::rejected,
           status_bad_request, why);
}

} // namespace hickorypost::gateway

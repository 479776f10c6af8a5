#include "gateway/request_journal.h"

#include "hickorypost/telemetry/event_line.h"

#include <cmath>

namespace hickorypost {

namespace {

/// Rate limit of lines about failures, relative to the limit of lines about successful requests.
constexpr double failure_factor = 10;
constexpr double micros_per_second = 1e6;

std::string_view kind_name(gateway::request_kind kind)
{
    switch (kind) {
    case gateway::request_kind::safe:
        return "safe";
    case gateway::request_kind::unsafe:
        return "unsafe";
    case gateway::request_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

std::string_view name_of(answer_state state)
{
    switch (state) {
    case answer_state::unanswered:
        return "unanswered";
    case answer_state::unsent:
        return "unsent";
    case answer_state::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

/// Formats as ID:MS, separated by commas.
/// Prompt parts as callers write them, separated by commas.
std::string format_parts(const std::vector<std::uint64_t>& parts)
{
    std::string out;
    for (const auto id : parts) {
        out += (out.empty() ? "" : ",") + gateway::part_text(id);
    }
    return out;
}

std::string format_backoffs(const std::vector<std::pair<std::string, millis>>& backoffs)
{
    std::string out;
    for (const auto& [backend, left] : backoffs) {
        out.append(out.empty() ? "" : ",").append(backend).append(":");
        out.append(std::to_string(left.count()));
    }
    return out;
}

std::string requests_total_key(std::string_view name, const gateway::exchange_record& record)
{
    std::string out{name};
    out.append("{route=\"").append(record.route).append("\",kind=\"");
    out.append(kind_name(record.kind)).append("\",outcome=\"");
    out.append(gateway::name_of(record.outcome)).append("\"}");
    return out;
}

} // namespace

request_journal::request_journal(runtime& env, double lines_per_second)
    : env_{env}, lines_per_second_{lines_per_second}, ordinary_budget_{lines_per_second},
      failure_budget_{lines_per_second * failure_factor}
{
}

bool request_journal::may_write(bool failure)
{
    double& budget = failure ? failure_budget_ : ordinary_budget_;
    if (budget < 1) {
        ++(failure ? suppressed_failures_ : suppressed_ordinary_);
        return false;
    }
    budget -= 1;
    return true;
}

void request_journal::finished(const gateway::exchange_record& record)
{
    constexpr unsigned first_error_status = 400;
    const bool failure = record.outcome != gateway::exchange_outcome::answered ||
                         record.status >= first_error_status || record.attempts > 1;
    env_.metrics.count(requests_total_key("requests_total", record));
    env_.metrics.count("attempts_total", record.attempts);
    env_.metrics.observe("request_seconds",
                         static_cast<double>(record.total.count()) / micros_per_second);
    if (record.sent_during_backoff > 0) {
        env_.metrics.count("attempts_during_backoff_total", record.sent_during_backoff);
    }
    if (record.to_first.count() > 0) {
        env_.metrics.observe("first_answer_seconds",
                             static_cast<double>(record.to_first.count()) / micros_per_second);
    }
    if (record.expected_first_ms > 0 && record.attempt_first_ms > 0) {
        constexpr double millis_per_second = 1000;
        env_.metrics.observe("first_event_error_seconds",
                             (record.attempt_first_ms - record.expected_first_ms) /
                                 millis_per_second);
    }
    if (!may_write(failure)) {
        return;
    }
    telemetry::event_line line{"request_ended"};
    line.add("request", record.id)
        .add("route", record.route)
        .add("kind", kind_name(record.kind))
        .add("account", record.account)
        .add("outcome", gateway::name_of(record.outcome))
        .add("status", record.status)
        .add("reason", record.reason)
        .add("service", record.service)
        .add("backend", record.backend)
        .add("version", record.version)
        .add("model", record.model)
        .add("attempts", record.attempts)
        .add("candidates", record.candidates)
        .add("config_version", record.config_version)
        .add("events", record.events)
        .add("first_ms", to_millis(record.to_first))
        .add("gap_ms", to_millis(record.longest_gap))
        .add("total_ms", to_millis(record.total));
    if (record.expected_first_ms > 0) {
        line.add("expected_first_ms", std::llround(record.expected_first_ms))
            .add("attempt_first_ms", std::llround(record.attempt_first_ms));
    }
    if (record.limited > 0) {
        line.add("limited", record.limited);
    }
    if (failure && !record.backing_off.empty()) {
        line.add("backing_off", format_backoffs(record.backing_off));
    }
    if (record.sent_during_backoff > 0) {
        line.add("sent_during_backoff", record.sent_during_backoff);
    }
    if (record.retry_after) {
        line.add("retry_after_ms", record.retry_after->count());
    }
    if (record.identity) {
        line.add("identity", gateway::to_text(*record.identity));
    }
    if (!record.crashing_parts.empty()) {
        line.add("crashing_parts", format_parts(record.crashing_parts));
    }
    env_.log->info("{}", line.payload());
}

void request_journal::rejected(const gateway::caller_request& request, unsigned status,
                               std::string_view why, std::uint64_t config_version)
{
    env_.metrics.count("requests_rejected_total{status=\"" + std::to_string(status) + "\"}");
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"request_rejected"};
    line.add("request", request.id)
        .add("host", request.host)
        .add("target", request.target)
        .add("status", status)
        .add("reason", why)
        .add("config_version", config_version);
    env_.log->info("{}", line.payload());
}

void request_journal::decision(const gateway::exchange_record& record, std::string_view what,
                               std::string_view why)
{
    env_.metrics.count("request_decisions_total{decision=\"" + std::string{what} + "\"}");
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"request_" + std::string{what}};
    line.add("request", record.id)
        .add("reason", why)
        .add("service", record.service)
        .add("backend", record.backend)
        .add("version", record.version)
        .add("model", record.model)
        .add("attempts", record.attempts)
        .add("candidates", record.candidates)
        .add("waited_ms", to_millis(record.waited));
    env_.log->info("{}", line.payload());
}

void request_journal::crashed(const gateway::crashed_attempt& attempt, std::uint32_t crashes,
                              std::size_t known)
{
    env_.metrics.count("request_crashes_total");
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"request_crashed"};
    line.add("request", attempt.request)
        .add("identity", gateway::to_text(attempt.identity))
        .add("service", attempt.service)
        .add("backend", attempt.backend)
        .add("crashes", crashes)
        .add("crashes_before", attempt.crashes_before)
        .add("known_crashes", known);
    if (!attempt.parts.empty()) {
        std::vector<std::uint64_t> ids;
        std::transform(attempt.parts.begin(), attempt.parts.end(), std::back_inserter(ids),
                       [](const auto& part) { return part.id; });
        line.add("parts", format_parts(ids));
    }
    env_.log->info("{}", line.payload());
}

void request_journal::crash_checked(std::string_view backend, bool refused)
{
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"crash_checked"};
    line.add("backend", backend).add("connection", refused ? "refused" : "accepted");
    env_.log->info("{}", line.payload());
}

void request_journal::crash_refuted(std::string_view backend, std::size_t requests)
{
    env_.metrics.count("request_crashes_refuted_total");
    telemetry::event_line line{"crash_refuted"};
    line.add("backend", backend).add("requests", requests);
    env_.log->info("{}", line.payload());
}

void request_journal::connection_refused(std::string_view reason)
{
    env_.metrics.count("caller_connections_refused_total");
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"caller_connection_refused"};
    line.add("reason", reason);
    env_.log->info("{}", line.payload());
}

void request_journal::listen_paused()
{
    env_.metrics.count("caller_listen_pauses_total");
    ++listen_pauses_;
}

void request_journal::long_iteration(micros duration, std::uint64_t opened, std::uint64_t refused)
{
    env_.metrics.count("long_iterations_total");
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"long_iteration"};
    line.add("duration_ms", std::chrono::duration_cast<millis>(duration).count())
        .add("opened", opened)
        .add("refused", refused);
    env_.log->info("{}", line.payload());
}

void request_journal::suspect_refused(const gateway::request_identity& suspect,
                                      std::uint32_t crashes, std::size_t known)
{
    env_.metrics.count("suspects_refused_total");
    telemetry::event_line line{"suspect_refused"};
    line.add("identity", gateway::to_text(suspect));
    if (gateway::is_part(suspect)) {
        line.add("crashing_parts", gateway::part_text(suspect.digest));
    }
    line.add("crashes", crashes).add("known_crashes", known);
    env_.log->warn("{}", line.payload());
}

void request_journal::limit_changed(const gateway::limit_change& change)
{
    telemetry::event_line line{change.per_second ? "backend_limited" : "backend_limit_ended"};
    line.add("backend", change.backend);
    if (change.per_second) {
        line.add("per_second", *change.per_second);
    }
    line.add("sent", change.sent);
    env_.log->info("{}", line.payload());
}

void request_journal::backoff_requested(const gateway::backoff_request& backoff)
{
    env_.metrics.count(backoff.readable ? "backoffs_requested_total" : "backoffs_invalid_total");
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"backend_backoff"};
    line.add("backend", backoff.backend)
        .add("request", backoff.request)
        .add("wait_ms", backoff.wait.count());
    if (!backoff.readable) {
        line.add("reason", "Retry-After is not a number of seconds: default time");
    }
    env_.log->info("{}", line.payload());
}

void request_journal::lost(const connection_loss& loss)
{
    const std::string_view by = loss.by_caller ? "caller" : "host";
    std::string name{"caller_connections_lost_total{state=\""};
    name.append(name_of(loss.state)).append("\",closed_by=\"").append(by).append("\"}");
    env_.metrics.count(name);
    if (!may_write(true)) {
        return;
    }
    telemetry::event_line line{"connection_lost"};
    line.add("request", loss.request)
        .add("state", name_of(loss.state))
        .add("closed_by", by)
        .add("unsent_bytes", loss.unsent_bytes);
    env_.log->info("{}", line.payload());
}

void request_journal::tick()
{
    ordinary_budget_ = lines_per_second_;
    failure_budget_ = lines_per_second_ * failure_factor;
    if (const auto pauses = std::exchange(listen_pauses_, 0); pauses > 0) {
        telemetry::event_line line{"caller_listen_paused"};
        line.add("times", pauses);
        env_.log->info("{}", line.payload());
    }
    if (suppressed_ordinary_ + suppressed_failures_ == 0) {
        return;
    }
    telemetry::event_line line{"lines_left_out"};
    line.add("ordinary", suppressed_ordinary_).add("failures", suppressed_failures_);
    env_.log->info("{}", line.payload());
    env_.metrics.count("log_lines_left_out_total",
                       static_cast<double>(suppressed_ordinary_ + suppressed_failures_));
    suppressed_ordinary_ = 0;
    suppressed_failures_ = 0;
}

} // namespace hickorypost

/// Second phase of a request: from the agent's answer to the settled usage.

#include "hickorypost/dispatch/billing.h"
#include "hickorypost/dispatch/request_flow.h"
#include "hickorypost/ledger/ledger_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickorypost::dispatch {

namespace {

/// Time that a lost link to an agent has to come back before the attempt counts as lost.
constexpr millis resume_grace{4000};
/// Time after the deadline that the agent has to report the usage of the run, which is billed.
constexpr millis end_grace{3000};
constexpr millis rating_limit{30'000};
constexpr unsigned first_error_status = 400;
constexpr unsigned first_server_error = 500;
constexpr unsigned too_many_requests = 429;
constexpr std::int64_t millis_per_second = 1000;

std::string_view name_of(told_outcome outcome)
{
    switch (outcome) {
    case told_outcome::not_run:
        return "not_run";
    case told_outcome::failed:
        return "failed";
    case told_outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view name_of(wire::refusal reason)
{
    switch (reason) {
    case wire::refusal::wrong_life:
        return "agent_restarted";
    case wire::refusal::not_fresh:
        return "not_fresh";
    case wire::refusal::not_permitted:
        return "forbidden_model";
    case wire::refusal::withdrawn:
        return "version_withdrawn";
    case wire::refusal::no_backend:
        return "no_backend_server";
    case wire::refusal::leaving:
        return "backend_server_leaving";
    case wire::refusal::overloaded:
        return "overloaded";
    case wire::refusal::deadline:
        return "deadline";
    case wire::refusal::tombstoned:
    case wire::refusal::cancelled:
        break;
    }
    return "cancelled";
}

/// Whether the backend server failed, as opposed to rejecting the request as invalid.
bool is_backend_fault(const wire::finished& msg)
{
    return msg.outcome == wire::run_outcome::engine_error &&
           (msg.http_status < first_error_status || msg.http_status >= first_server_error ||
            msg.http_status == too_many_requests);
}

} // namespace

void request_flow::on_refused(const wire::refused& msg)
{
    retry_hint_ = std::max(retry_hint_, millis{static_cast<std::int64_t>(msg.retry_after_ms)});
    last_refusal_ = msg.reason;
    const bool backend_fault =
        msg.reason == wire::refusal::wrong_life || msg.reason == wire::refusal::no_backend;
    close_attempt(backend_fault, micros{0});
    const bool final = msg.reason == wire::refusal::withdrawn ||
                       msg.reason == wire::refusal::not_permitted ||
                       msg.reason == wire::refusal::cancelled;
    if (closing_) {
        bill(ledger::request_outcome::cancelled);
        return;
    }
    if (final || !try_elsewhere(true)) {
        give_up();
    }
}

void request_flow::on_piece(const wire::piece& msg)
{
    if (!attempt_.first_byte) {
        attempt_.first_byte = services_.now();
    }
    if (!answer_.append(msg.offset, msg.bytes)) {
        // Bytes before this piece are missing: request the answer again from the first missing one.
        services_.send(attempt_.backend.agent,
                       wire::resume{attempt_.id, attempt_.agent_life, answer_.size()});
        return;
    }
    const bool show = stream_ && !cascade_ && !closing_ && msg.http_status < first_error_status;
    if (!show) {
        return;
    }
    if (!streaming_) {
        streaming_ = true;
        caller_.start_stream(msg.content_type.empty() ? "text/event-stream"
                                                      : std::string_view{msg.content_type},
                             answer_headers());
    }
    caller_.write(answer_.take_deliverable());
}

void request_flow::on_finished(const wire::finished& msg)
{
    if (answer_.size() < msg.bytes) {
        services_.send(attempt_.backend.agent,
                       wire::resume{attempt_.id, attempt_.agent_life, answer_.size()});
        return;
    }
    services_.router.apply_load_report(attempt_.backend, msg.running, msg.queued);
    const bool backend_fault = is_backend_fault(msg);
    to_settle_.emplace_back(attempt_.backend.agent, attempt_.id);
    answer_type_ = msg.content_type;
    add_line(msg);
    report_evidence(msg);
    close_attempt(backend_fault, services_.now() - attempt_.started);
    if (closing_) {
        bill(deadline_passed_ ? ledger::request_outcome::failed
                              : ledger::request_outcome::cancelled);
        return;
    }
    if (msg.outcome == wire::run_outcome::complete) {
        judge_stage();
        return;
    }
    if (backend_fault) {
        maybe_ran_ = true;
        if (try_elsewhere(true)) {
            return;
        }
        fail(502, "backend_failed", "the backend server failed", told_outcome::failed);
        return;
    }
    if (msg.outcome == wire::run_outcome::engine_error) {
        // The backend server rejected the request: forward its answer unchanged.
        closing_ = true;
        caller_.respond(msg.http_status, msg.content_type, answer_headers(), answer_.all());
        bill(ledger::request_outcome::failed);
        return;
    }
    const bool late = msg.outcome == wire::run_outcome::deadline;
    fail(late ? 504 : 502, late ? "deadline" : "cancelled",
         late ? "the deadline passed while the request ran" : "the run was cancelled",
         told_outcome::failed);
}

void request_flow::on_unknown(const wire::unknown_attempt& msg)
{
    close_attempt(true, micros{0});
    maybe_ran_ = maybe_ran_ || !msg.same_life;
    if (closing_) {
        bill(ledger::request_outcome::failed);
        return;
    }
    if (!try_elsewhere(true)) {
        give_up();
    }
}

void request_flow::on_link_lost()
{
    if (!link_timer_armed_) {
        start_link_timer(resume_grace);
    }
}

void request_flow::start_link_timer(millis delay)
{
    link_timer_armed_ = true;
    caller_.start_timer(flow_timer::link, delay);
}

void request_flow::stop_link_timer()
{
    link_timer_armed_ = false;
    caller_.stop_timer(flow_timer::link);
}

void request_flow::on_link_back()
{
    // Frames in either direction may have been lost with the old connection, so ask for the attempt
    // by its id. The agent sends the missing bytes or replies that it does not know the attempt.
    stop_link_timer();
    services_.send(attempt_.backend.agent,
                   wire::resume{attempt_.id, attempt_.agent_life, answer_.size()});
}

void request_flow::lost_for_good()
{
    const auto keep = shared_from_this();
    maybe_ran_ = true;
    close_attempt(true, micros{0});
    if (closing_) {
        bill(ledger::request_outcome::unknown);
        return;
    }
    if (!try_elsewhere(true)) {
        give_up();
    }
}

void request_flow::add_line(const wire::finished& msg)
{
    const auto first = attempt_.first_byte.value_or(services_.now()) - attempt_.started;
    ledger::stage_line line;
    line.target = target();
    line.agent = attempt_.backend.agent;
    line.complete = msg.outcome == wire::run_outcome::complete;
    line.used = msg.used;
    line.cost = price_run(services_.records(), target(), service_, msg.used);
    line.first_ms = to_millis(first);
    line.total_ms = to_millis(services_.now() - attempt_.started);
    fact_.lines.push_back(std::move(line));
    if (!service_) {
        services_.metrics.observe("entry_first_token_seconds",
                                  static_cast<double>(first.count()) / 1e6);
    }
}

void request_flow::report_evidence(const wire::finished& msg)
{
    if (service_ || msg.outcome == wire::run_outcome::cancelled) {
        return;
    }
    const auto* model = services_.records().model(target().model);
    const auto first = attempt_.first_byte.value_or(services_.now()) - attempt_.started;
    const bool slow = model != nullptr && model->slow_ms > 0 && to_millis(first) > model->slow_ms;
    services_.exposure.record_answer(target(), msg.outcome != wire::run_outcome::complete, slow);
    if (msg.outcome != wire::run_outcome::complete || cascade_ || !services_.rated()) {
        return;
    }
    constexpr double good_rating = 0.5;
    services_.rate(target(), body_, answer_.all(), rating_limit,
                   [&book = services_.exposure, version = target()](auto rating) {
                       if (rating) {
                           book.record_rating(version, *rating >= good_rating);
                       }
                   });
}

void request_flow::judge_stage()
{
    const bool last = stage_ + 1 >= stages_.size();
    if (!cascade_ || non_idempotent_ || !services_.rated()) {
        deliver_complete();
        return;
    }
    const millis limit = std::chrono::duration_cast<millis>(remaining());
    services_.rate(target(), body_, answer_.all(), limit,
                   [self = shared_from_this(), last](std::optional<double> rating) {
                       if (self->closing_ || self->over_) {
                           return;
                       }
                       if (rating) {
                           const bool good = *rating >= self->accept_rating_;
                           self->services_.cascades.learn({self->fact_.key.account, self->task_},
                                                          self->stage_, good);
                       }
                       self->escalate_or_deliver(last ? std::nullopt : rating);
                   });
}

void request_flow::escalate_or_deliver(std::optional<double> rating)
{
    const bool poor = rating && *rating < accept_rating_;
    if (!poor || remaining() <= micros{0}) {
        deliver_complete();
        return;
    }
    services_.metrics.count("entry_escalations_total");
    ++stage_;
    tried_.clear();
    attempt_.id = services_.random();
    attempt();
}

void request_flow::deliver_complete()
{
    closing_ = true;
    bill(ledger::request_outcome::complete);
}

void request_flow::bill(ledger::request_outcome outcome)
{
    closing_ = true;
    caller_.stop_timer(flow_timer::deadline);
    if (fact_.lines.empty() && !maybe_ran_) {
        billed();
        return;
    }
    fact_.outcome = outcome;
    if (fact_.lines.empty()) {
        report_unknown();
        billed();
        return;
    }
    ledger::ledger_command command;
    command.usage = fact_;
    const auto group = ledger::group_of(fact_.key, services_.ledger_groups());
    const instant asked = services_.now();
    services_.write_ledger(1 + group, std::move(command), millis{0},
                           [self = shared_from_this(), asked](const ledger::ledger_reply*) {
                               const auto took = self->services_.now() - asked;
                               self->services_.metrics.observe(
                                   "entry_bill_seconds", static_cast<double>(took.count()) / 1e6);
                               self->billed();
                           });
}

void request_flow::report_unknown()
{
    // The request may have run, with usage unknown to this entry. If it ran, the agent bills it. In
    // case the agent is lost as well, opening the request here lets the usage report list it as
    // unknown instead of omitting it.
    if (non_idempotent_) {
        return; // already opened before its attempt was sent
    }
    services_.write_ledger(1 + ledger::group_of(fact_.key, services_.ledger_groups()),
                           open_command(false), millis{0}, [](const ledger::ledger_reply*) {});
}

void request_flow::billed()
{
    settle_attempts();
    const bool whole = fact_.outcome == ledger::request_outcome::complete && !fact_.lines.empty();
    if (!gone_ && whole) {
        // The end of the answer is delivered only now: if this process failed before the usage was
        // durable, a complete answer would have been delivered unbilled.
        if (streaming_) {
            caller_.write(answer_.take_undelivered());
            caller_.finish_stream();
        } else {
            caller_.respond(200, answer_type_, answer_headers(), answer_.all());
        }
    }
    over();
}

void request_flow::settle_attempts()
{
    for (const auto& [agent, attempt] : to_settle_) {
        services_.send(agent, wire::settled{attempt});
    }
    to_settle_.clear();
}

std::vector<answer_header> request_flow::answer_headers() const
{
    std::vector<answer_header> out{{"Hickorypost-Request", fact_.key.request}};
    if (!stages_.empty()) {
        out.push_back({"Hickorypost-Model", target().model});
        if (!target().version.empty()) {
            out.push_back({"Hickorypost-Version", target().version});
        }
    }
    out.push_back({"traceparent", trace_.header()});
    return out;
}

void request_flow::fail(unsigned status, std::string_view type, std::string_view message,
                        told_outcome outcome, std::optional<millis> retry_after)
{
    if (over_) {
        return;
    }
    const auto keep = shared_from_this();
    closing_ = true;
    if (outcome == told_outcome::not_run && non_idempotent_ && key_given_ && !opened_) {
        // The caller may have sent the same key through another entry, and that request may have
        // run. Only the attempt that holds the key in the ledger can rule this out.
        outcome = told_outcome::unknown;
    }
    if (outcome == told_outcome::not_run && on_candidate_) {
        services_.exposure.return_answer(target());
        on_candidate_ = false;
    }
    services_.metrics.count("entry_errors_total{type=\"" + std::string{type} + "\"}");
    const nlohmann::json body = {{"error",
                                  {{"message", message},
                                   {"type", type},
                                   {"outcome", name_of(outcome)},
                                   {"request_id", fact_.key.request}}}};
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (streaming_) {
        // Part of the answer was sent: end the stream with an error and without the end marker.
        caller_.write("data: " + text + "\n\n");
        caller_.finish_stream();
    } else {
        auto headers = answer_headers();
        if (retry_after) {
            const std::int64_t seconds =
                (retry_after->count() + millis_per_second - 1) / millis_per_second;
            headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
            headers.push_back({"Hickorypost-Retry-After-Ms", std::to_string(retry_after->count())});
        }
        caller_.respond(status, "application/json", headers, text);
    }
    if (!attempt_.live) {
        bill(ledger::request_outcome::failed);
    }
}

void request_flow::give_up()
{
    if (closing_ || over_) {
        return;
    }
    if (!fact_.lines.empty()) {
        fail(502, "backend_failed", "the backend server failed", told_outcome::failed);
        return;
    }
    if (maybe_ran_) {
        fail(502, "lost", "the backend server was lost; the request may have run",
             told_outcome::unknown);
        return;
    }
    const auto type = name_of(last_refusal_);
    switch (last_refusal_) {
    case wire::refusal::withdrawn:
        fail(410, type, "this version was withdrawn", told_outcome::not_run);
        return;
    case wire::refusal::not_permitted:
        fail(403, type, "the account may not use this model and version", told_outcome::not_run);
        return;
    case wire::refusal::deadline:
        fail(504, type, "no backend server can start the request before its deadline",
             told_outcome::not_run, retry_hint_);
        return;
    default:
        fail(503, type, "no backend server can accept the request now", told_outcome::not_run,
             std::max(retry_hint_, millis{200}));
    }
}

void request_flow::caller_gone()
{
    gone_ = true;
    if (closing_) {
        return;
    }
    const auto keep = shared_from_this();
    closing_ = true;
    services_.metrics.count("entry_callers_gone_total");
    if (attempt_.live) {
        // The usage so far is billed once the agent reports it.
        services_.send(attempt_.backend.agent, wire::cancel{attempt_.id});
        return;
    }
    bill(ledger::request_outcome::cancelled);
}

void request_flow::on_deadline()
{
    if (closing_ || over_) {
        return;
    }
    const auto keep = shared_from_this();
    deadline_passed_ = true;
    if (!attempt_.live) {
        fail(504, "deadline", "the deadline passed before the request could start",
             told_outcome::not_run, retry_hint_);
        return;
    }
    services_.send(attempt_.backend.agent, wire::cancel{attempt_.id});
    fail(504, "deadline", "the deadline passed", told_outcome::unknown);
    start_link_timer(end_grace);
}

void request_flow::over()
{
    if (over_) {
        return;
    }
    over_ = true;
    caller_.stop_timer(flow_timer::deadline);
    stop_link_timer();
    if (admitted_) {
        services_.limiter.done(fact_.key.account);
    }
    services_.metrics.count("entry_requests_total");
    caller_.over();
}

} // namespace hickorypost::dispatch

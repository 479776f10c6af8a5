/// Request lifecycle, part one: choice of the backend server, attempts, retries, deadlines.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

std::string format_retry_after(millis wait)
{
    constexpr std::int64_t per_second = 1000;
    std::string digits = std::to_string(wait.count() % per_second);
    digits.insert(0, 3 - digits.size(), '0');
    return std::to_string(wait.count() / per_second) + "." + digits;
}

} // namespace

std::string_view describe(attempt_fault fault) noexcept
{
    switch (fault) {
    case attempt_fault::not_sent:
        return "could not connect";
    case attempt_fault::no_room:
        return "connection limit reached";
    case attempt_fault::withheld:
        return "backend server asked for no requests before this one was sent";
    case attempt_fault::silent:
        return "connection lost without an answer";
    case attempt_fault::stale:
        return "kept connection closed without an answer";
    case attempt_fault::stale_unsent:
        return "kept connection closed before the request was sent";
    case attempt_fault::broken:
        return "answer truncated or malformed";
    }
    return "unknown fault";
}

std::string_view name_of(exchange_outcome outcome) noexcept
{
    switch (outcome) {
    case exchange_outcome::answered:
        return "answered";
    case exchange_outcome::rejected:
        return "rejected";
    case exchange_outcome::not_run:
        return "not_run";
    case exchange_outcome::failed:
        return "failed";
    case exchange_outcome::timed_out:
        return "timed_out";
    case exchange_outcome::broken_off:
        return "broken_off";
    case exchange_outcome::caller_left:
        return "caller_left";
    }
    return "unknown";
}

http1::response_head gateway_response(unsigned status, std::optional<millis> retry_after)
{
    http1::response_head out;
    out.status = status;
    out.body = http1::framing::sized;
    if (retry_after) {
        out.fields.add("Retry-After", format_retry_after(*retry_after));
    }
    return out;
}

exchange::exchange(exchange_services& services, caller_port& caller, caller_request request,
                   route_table_ptr table, const route_spec& route, const account_spec* account)
    : services_{services}, caller_{caller}, request_{std::move(request)}, table_{std::move(table)},
      route_{route}, account_{account}, started_at_{request_.arrived}, events_{
                                                                           request_.last_event_id}
{
    millis wait = route_.timeout;
    if (request_.wait) {
        wait = std::min(wait, *request_.wait - services_.settings.answer_margin);
    }
    deadline_ = started_at_ + std::max(wait, millis{0});
    record_.id = request_.id;
    record_.route = route_.name;
    record_.account = account_ == nullptr ? std::string{} : account_->name;
    record_.kind = route_.kind;
    record_.config_version = table_->config().version;
    record_.prompt_tokens = request_.prompt_tokens;
    record_.output_tokens = request_.output_tokens;
    record_.model = request_.model;
}

exchange::~exchange()
{
    services_.timers.cancel(deadline_timer_);
    services_.crashes.cancel(crash_check_id_);
    cancel_silence_timers();
    services_.admission.leave(record_.service, admission_id_);
    if (ticket_) {
        services_.balancer.ended(*ticket_, attempt_result::dropped, services_.now());
    }
}

void exchange::start()
{
    deadline_timer_ = services_.timers.add(deadline_, [this] {
        deadline_timer_ = 0;
        deadline_passed();
    });
    pick_service();
    if (request_.any_model) {
        model_rank_ = services_.models.first(route_);
    }
    services_.retry_windows.try_emplace(record_.service, services_.retry_settings)
        .first->second.request(services_.now());
    try_attempt();
}

void exchange::pick_service()
{
    std::uint64_t total = 0;
    for (const auto& it : route_.services) {
        total += it.weight;
    }
    auto at =
        static_cast<std::uint64_t>(unit_random(services_.random) * static_cast<double>(total));
    for (const auto& it : route_.services) {
        if (at < it.weight) {
            record_.service = it.service;
            break;
        }
        at -= it.weight;
    }
    service_ = table_->find_service(record_.service);
}

bool exchange::is_retryable() const
{
    return route_.kind == request_kind::safe ||
           (route_.kind == request_kind::streaming && route_.resumable);
}

millis exchange::time_left() const
{
    return std::chrono::duration_cast<millis>(deadline_ - services_.now());
}

void exchange::count_sent_attempt()
{
    sent_attempts_ += std::exchange(attempt_counted_, true) ? 0 : 1;
}

bool exchange::try_take_retry()
{
    if (sent_attempts_ == 0) {
        return true;
    }
    if (sent_attempts_ >= route_.max_attempts ||
        time_left() < services_.settings.min_attempt_time) {
        return false;
    }
    auto& window = services_.retry_windows.at(record_.service);
    return window.try_retry(services_.processes(), services_.now());
}

std::string exchange::current_model() const
{
    return request_.any_model && !route_.models.empty() ? route_.models[model_rank_]
                                                        : std::string{};
}

job_size exchange::current_job() const
{
    return job_for_model(request_.any_model ? current_model() : request_.model);
}

job_size exchange::job_for_model(const std::string& model) const
{
    job_size out;
    out.prompt_tokens = request_.prompt_tokens;
    out.output_tokens = request_.output_tokens;
    out.parts = request_.parts;
    out.model = model;
    if (service_ != nullptr && service_->engine) {
        out.pace = model_choice::pace(*service_->engine, out.model);
        out.engine_memory = service_->engine->memory_tokens;
    }
    return out;
}

void exchange::try_attempt()
{
    const auto [suspicion, culprits] = judge();
    if (suspicion == crash_ledger::standing::refused) {
        reject_as_crashing(culprits);
        return;
    }
    auto candidates = selectable_backends();
    job_size job = current_job();
    job.suspect =
        suspicion == crash_ledger::standing::suspect || suspicion == crash_ledger::standing::trial;
    const auto* const to = choose(candidates, job);
    if (to == nullptr && !limited_backends_.empty()) {
        if (!wait_for_permit()) {
            reject_for_limits();
        }
        return;
    }
    if (to == nullptr && !backing_off_.empty()) {
        if (!wait_for_backoff()) {
            abort("all backend servers have asked for no requests");
        }
        return;
    }
    if (to == nullptr && services_.directory.is_fully_evacuated(record_.service)) {
        retry_after_ = services_.settings.evacuated_retry_after;
        abort("the failure domains of all backend servers are evacuated");
        return;
    }
    if (to == nullptr && record_.candidates == 0 && may_begin_late() && wait_for_backends()) {
        return;
    }
    if (to == nullptr) {
        abort(record_.candidates == 0 ? "no backend server is known"
                                      : "all backend servers have been tried");
        return;
    }
    if (!try_admit(*to, candidates, job)) {
        return;
    }
    is_trial_ = suspicion == crash_ledger::standing::trial;
    if (is_trial_) {
        for (const auto& it : culprits) {
            services_.suspects.tried(it);
        }
        services_.note(record_, "tried", "one trial of a request that has crashed backend servers");
    }
    send_to(*to, job);
}

bool exchange::wait_for_backends()
{
    const auto& settings = services_.settings;
    const instant now = services_.now();
    const auto waited = now - started_at_;
    if (sent_attempts_ + unsent_attempts_ > 0 || waited >= settings.backend_wait ||
        waited * 2 >= deadline_ - started_at_) {
        return false;
    }
    silence_timer_ = services_.timers.add(now + settings.backend_poll, [this] {
        silence_timer_ = 0;
        try_attempt();
    });
    return true;
}

void exchange::send_to(const backend_entry& to, const job_size& job)
{
    const instant now = services_.now();
    attempt_order order;
    order.backend = to.record.name;
    order.account = record_.account;
    order.wait = time_left();
    order.model = current_model();
    order.priority = priority();
    order.last_event_id = events_.last_id();
    if (order.wait <= millis{0}) {
        deadline_passed();
        return;
    }
    record_.backend = to.record.id;
    record_.version = to.record.version;
    record_.model = job.model;
    ++record_.attempts;
    attempt_started_at_ = now;
    attempt_first_event_at_ = {};
    attempt_covers_whole_stream_ = !order.last_event_id;
    attempt_counted_ = false;
    connection_was_stale_ = false;
    reading_paused_ = false;
    stage_ = stage_ == stage::relaying ? stage::relaying : stage::awaiting_head;
    events_.restart();
    permit_wait_end_ = {};
    backoff_wait_end_ = {};
    record_known_crashes();
    record_.sent_during_backoff += services_.backoffs.is_backing_off(to.record.id) ? 1 : 0;
    services_.limits.sent(to.record.id);
    services_.backoffs.sent(to.record.id);
    ticket_ = services_.balancer.started(to, job, now);
    record_.expected_first_ms = ticket_->expected_first_ms;
    if (service_ != nullptr && service_->engine) {
        services_.work_admitted(record_.account, ticket_->prefill_ms);
    }
    record_.attempt_first_ms = 0;
    target_ = {to.record.id,    to.record.address,
               record_.service, service_ == nullptr ? 0 : service_->max_connections,
               to.record.name,  needs_new_connection_};
    current_attempt_ = services_.backends.start(target_, services_.write_head(request_, order),
                                                request_.body, request_.method == "HEAD", *this);
    restart_silence_timer();
}

void exchange::end_attempt(attempt_result how)
{
    cancel_silence_timers();
    current_attempt_.reset();
    if (!ticket_) {
        return;
    }
    services_.balancer.ended(*ticket_, how, services_.now());
    ticket_.reset();
    // Lost connections are not reported for the version: a few crashes of backend servers during a
    // roll-out would otherwise roll a good version back.
    const bool server_error = how == attempt_result::failed && failure_head_.has_value();
    if (how == attempt_result::answered || server_error) {
        const instant end = server_error || attempt_first_event_at_ == instant{}
                                ? services_.now()
                                : attempt_first_event_at_;
        const job_size job = current_job();
        services_.rollouts.saw({record_.service, route_.name, job.model, record_.version,
                                server_error, end - attempt_started_at_,
                                services_.balancer.prefill_ms(job, 0)});
        if (attempt_first_event_at_ == instant{} && !server_error) {
            services_.rollouts.record_pace(record_.service, route_.name, record_.version,
                                           end - attempt_started_at_);
        }
    }
}

void exchange::resume_or_retry(std::string_view why)
{
    if (stage_ != stage::relaying) {
        retry(why);
        return;
    }
    const bool resumable = route_.kind == request_kind::streaming && route_.resumable;
    if (!resumable || !services_.settings.resumes || !try_take_retry()) {
        caller_.break_off();
        finish(exchange_outcome::broken_off, head_.status, why);
        return;
    }
    services_.note(record_, "resumed", why);
    exclude_tried_backend();
    try_attempt();
}

void exchange::exclude_tried_backend()
{
    if (!connection_was_stale_) {
        tried_backends_.push_back(record_.backend);
    }
}

void exchange::retry(std::string_view why)
{
    exclude_tried_backend();
    stage_ = stage::awaiting_head;
    const bool allowed = !may_have_run_ || is_retryable();
    if (!allowed || unsent_attempts_ >= services_.settings.max_connect_attempts ||
        !try_take_retry()) {
        abort(why);
        return;
    }
    services_.note(record_, "retried", why);
    failure_head_.reset();
    try_attempt();
}

void exchange::abort(std::string_view why)
{
    if (stage_ == stage::relaying) {
        caller_.break_off();
        finish(exchange_outcome::broken_off, head_.status, why);
        return;
    }
    if (failure_head_ && may_pass_on(failure_head_->status)) {
        head_ = *failure_head_;
        buffered_body_ = std::move(failure_body_);
        deliver_buffered();
        return;
    }
    reply_with_error(may_have_run_ ? status_bad_gateway : status_unavailable, why);
}

void exchange::reply_with_error(unsigned status, std::string_view why)
{
    const auto& settings = services_.settings;
    std::optional<millis> wait;
    if (status == status_unavailable) {
        if (!retry_after_) {
            retry_after_ = backoff_left();
        }
        const double fraction = unit_random(services_.random);
        const auto jitter = static_cast<double>(settings.retry_after_jitter.count()) * fraction;
        wait = retry_after_.value_or(settings.min_retry_after) +
               millis{static_cast<std::int64_t>(jitter)};
    }
    record_.retry_after = wait;
    caller_.respond(gateway_response(status, wait), {});
    const auto outcome = status == status_unavailable ? exchange_outcome::not_run
                         : status == status_timeout   ? exchange_outcome::timed_out
                                                      : exchange_outcome::failed;
    finish(outcome, status, why);
}

void exchange::deadline_passed()
{
    if (finished_) {
        return;
    }
    if (current_attempt_ && request_.any_model && stage_ != stage::relaying) {
        services_.models.times().record_abandoned(current_model(),
                                                  services_.balancer.prefill_ms(current_job(), 0),
                                                  services_.now() - attempt_started_at_);
    }
    stop("deadline passed");
}

void exchange::host_exits()
{
    if (!finished_) {
        stop("host is shutting down");
    }
}

void exchange::stop(std::string_view why)
{
    if (current_attempt_) {
        // The cancelled attempt may have run.
        may_have_run_ = true;
        end_attempt(attempt_result::dropped);
    }
    if (stage_ == stage::relaying) {
        caller_.break_off();
        finish(exchange_outcome::broken_off, head_.status, why);
        return;
    }
    reply_with_error(may_have_run_ ? status_timeout : status_unavailable, why);
}

void exchange::caller_left(std::string_view why)
{
    if (finished_) {
        return;
    }
    end_attempt(attempt_result::dropped);
    finish(exchange_outcome::caller_left, 0, why);
}

void exchange::caller_drained()
{
    if (!current_attempt_ || !std::exchange(reading_paused_, false)) {
        return;
    }
    current_attempt_->set_reading(true);
    if (route_.kind == request_kind::streaming) {
        restart_silence_timer();
    }
}

void exchange::finish(exchange_outcome outcome, unsigned status, std::string_view why)
{
    finished_ = true;
    services_.timers.cancel(std::exchange(deadline_timer_, 0));
    services_.crashes.cancel(std::exchange(crash_check_id_, 0));
    cancel_silence_timers();
    services_.admission.leave(record_.service, admission_id_);
    record_.outcome = outcome;
    record_.status = status;
    record_.reason = why;
    record_.events = events_.events();
    record_.total = services_.now() - started_at_;
    services_.finished(record_);
}

} // namespace hickorypost::gateway

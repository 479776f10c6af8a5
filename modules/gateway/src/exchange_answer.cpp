/// Request lifecycle, part two: the backend server's answer and its relay to the caller.

#include "hickorypost/gateway/exchange.h"

#include "hickorypost/base/buffer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorypost::gateway {

namespace {

constexpr unsigned first_server_error = 500;
/// Number of events after a stream's first one whose mean interval is taken as the engine's speed:
/// few enough to be known while the stream runs, enough to average out single pauses.
constexpr std::uint64_t interval_events = 4;

} // namespace

bool exchange::on_head(http1::response_head& head)
{
    const backend_answer answer = services_.read_answer(head);
    if (!answers_this_request(answer)) {
        return false;
    }
    if (!is_from_another_backend(answer)) {
        services_.limits.saw(record_.backend, answer.limit);
        services_.answer_seen(record_.backend, answer, request_.id);
    }
    if (!answer.ran) {
        handle_not_executed(answer);
        return true;
    }
    count_sent_attempt();
    may_have_run_ = true;
    const bool untrusted =
        answer.encoded || (detail::is_success(answer.status) && !answer.signed_body);
    if (untrusted) {
        end_attempt(attempt_result::failed);
        resume_or_retry("answer encoded or without the backend server's signature");
        return true;
    }
    if (stage_ == stage::relaying && !detail::is_success(answer.status)) {
        end_attempt(attempt_result::failed);
        resume_or_retry("backend server failed");
        return true;
    }
    if (answer.status >= first_server_error || !may_pass_on(answer.status)) {
        handle_failure_answer(head);
        return true;
    }
    if (!try_escalate(answer)) {
        start_relay(head);
    }
    return true;
}

bool exchange::answers_this_request(const backend_answer& answer) const
{
    // An answer that comes late, or once more, answers an earlier request on the connection. A
    // backend server that names the request in its answers does so in each; bytes that it sends
    // behind an answer may lack the name.
    if (answer.request_id.empty()) {
        return !current_attempt_ || !current_attempt_->identifies_answers();
    }
    if (current_attempt_) {
        current_attempt_->note_identified_answer();
    }
    return answer.request_id == request_.id;
}

bool exchange::is_from_another_backend(const backend_answer& answer) const
{
    // The chosen backend server itself may refuse a request, such as one for an unknown model.
    return answer.misdirected &&
           (answer.backend_name.empty() || answer.backend_name != target_.name);
}

void exchange::handle_not_executed(const backend_answer& answer)
{
    const bool wrong_backend = is_from_another_backend(answer);
    if (wrong_backend) {
        // Not counted against the route's attempts: the chosen backend server did not get the
        // request.
        ++unsent_attempts_;
        services_.directory.remove(record_.backend, services_.now());
        services_.note(record_, "backend_gone", "another incarnation answers at its address");
    }
    if (!wrong_backend) {
        count_sent_attempt();
    }
    end_attempt(wrong_backend ? attempt_result::unreachable : attempt_result::refused);
    resume_or_retry("request not executed by the backend server");
}

bool exchange::may_pass_on(unsigned status) const
{
    constexpr unsigned request_timeout = 408;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    const bool claims_not_run =
        status == request_timeout || status == too_many_requests || status == unavailable;
    return is_retryable() || !claims_not_run;
}

void exchange::handle_failure_answer(http1::response_head& head)
{
    head_ = std::move(head);
    buffered_body_.clear();
    stage_ = stage::buffering;
    failure_head_ = head_;
}

bool exchange::try_escalate(const backend_answer& answer)
{
    if (!request_.any_model || !answer.confidence || stage_ == stage::relaying || !is_retryable()) {
        return false;
    }
    if (!route_.models.empty()) {
        const auto& model = route_.models[model_rank_];
        if (!last_scored_model_.empty() && last_scored_model_ != model) {
            services_.models.record_confidence_pair(last_scored_model_, last_confidence_, model,
                                                    *answer.confidence);
        }
        last_scored_model_ = model;
        last_confidence_ = *answer.confidence;
    }
    std::vector<double> prefill_ms;
    std::vector<double> queue_ms;
    const auto candidates = selectable_backends();
    for (const auto& model : route_.models) {
        const job_size job = job_for_model(model);
        prefill_ms.push_back(services_.balancer.prefill_ms(job, 0));
        queue_ms.push_back(expected_wait_ms(candidates, job));
    }
    const std::uint32_t attempts_left =
        route_.max_attempts - std::min(sent_attempts_, route_.max_attempts);
    const auto spent = std::chrono::duration_cast<millis>(services_.now() - started_at_);
    const auto rank = services_.models.after({route_, model_rank_, *answer.confidence, spent,
                                              time_left(), attempts_left, prefill_ms, queue_ms});
    if (rank == model_rank_) {
        return false;
    }
    // While the engines have a backlog, new requests wait for them. A second run takes several
    // times the engine time of a first one, and would make first answers late.
    const micros bound = max_backlog();
    if (bound > micros{0} && micros{std::llround(queue_ms[rank] * 1000)} > bound) {
        services_.note(record_, "not_escalated", "all engines have a backlog");
        return false;
    }
    if (!has_room_elsewhere({}) || !try_take_retry()) {
        return false;
    }
    model_rank_ = rank;
    services_.note(record_, "model_escalated", "answer confidence below the accepted minimum");
    end_attempt(attempt_result::dropped);
    try_attempt();
    return true;
}

double exchange::expected_wait_ms(std::span<const backend_entry* const> candidates,
                                  const job_size& job)
{
    auto& balancer = services_.balancer;
    const auto* const on = balancer.choose(candidates, job, tried_backends_, services_.now());
    return on == nullptr ? 0 : balancer.expected_wait_ms(*on);
}

void exchange::start_relay(http1::response_head& head)
{
    if (stage_ == stage::relaying) {
        return; // resumed stream: the caller already has the head of the first attempt
    }
    if (route_.kind == request_kind::streaming && detail::is_success(head.status)) {
        head_ = std::move(head);
        stage_ = stage::head_received;
        return;
    }
    services_.balancer.on_first_event(*ticket_, services_.now());
    record_.to_first = services_.now() - started_at_;
    head_ = std::move(head);
    buffered_body_.clear();
    stage_ = stage::buffering;
}

void exchange::on_body(std::string_view bytes)
{
    const bool events = route_.kind == request_kind::streaming && stage_ != stage::buffering;
    if (events) {
        relay_events(bytes);
    } else if (failure_head_) {
        buffer_failure(bytes);
    } else {
        relay_plain(bytes);
    }
    answer_share_.set(answer_bytes());
}

void exchange::relay_plain(std::string_view bytes)
{
    if (stage_ == stage::relaying) {
        caller_.piece(bytes);
    } else {
        buffered_body_.append(bytes);
        if (buffered_body_.size() > answer_allowance(services_.settings.max_buffered_bytes)) {
            stage_ = stage::relaying;
            cancel_silence_timers(); // a part of a plain answer can't be continued by another one
            head_.fields.remove_hop_by_hop();
            head_.fields.remove("Content-Length");
            caller_.begin(head_);
            caller_.piece(std::exchange(buffered_body_, {}));
        }
    }
    pause_if_unread();
}

void exchange::buffer_failure(std::string_view bytes)
{
    if (buffered_body_.size() + bytes.size() <=
        answer_allowance(services_.settings.max_buffered_bytes)) {
        buffered_body_.append(bytes);
        return;
    }
    end_attempt(attempt_result::failed);
    failure_head_.reset();
    clear_buffer(buffered_body_);
    retry("failure answer of the backend server too large");
}

std::size_t exchange::answer_allowance(std::size_t most) const
{
    return services_.answer_buffers->allowance(services_.settings.min_answer_bytes, most);
}

void exchange::pause_if_unread()
{
    if (current_attempt_ &&
        caller_.unsent() > answer_allowance(services_.settings.max_unsent_bytes)) {
        current_attempt_->set_reading(false);
        reading_paused_ = true;
        // Until reading continues, the silence is not the backend server's.
        cancel_silence_timers();
    }
}

void exchange::relay_events(std::string_view bytes)
{
    const std::uint64_t before = events_.events();
    if (const std::string whole = events_.push(bytes); !whole.empty()) {
        forward_events(whole, events_.events() - before);
    }
    const bool too_large =
        events_.too_large() ||
        events_.partial_bytes() > answer_allowance(event_splitter::max_event_bytes);
    if (too_large || events_.out_of_order()) {
        end_attempt(attempt_result::failed);
        resume_or_retry(too_large ? "event too large" : "events out of order");
    }
}

void exchange::forward_events(std::string_view whole, std::uint64_t count)
{
    if (stage_ != stage::relaying) {
        stage_ = stage::relaying;
        record_.to_first = services_.now() - started_at_;
        if (const auto target = std::chrono::duration_cast<micros>(route_.target_latency);
            target.count() > 0) {
            services_.models.record_first_event(static_cast<double>(record_.to_first.count()) /
                                                static_cast<double>(target.count()));
        }
        head_.fields.remove_hop_by_hop();
        head_.fields.remove("Content-Length");
        caller_.begin(head_);
    }
    const instant now = services_.now();
    const bool first_of_attempt = attempt_first_event_at_ == instant{};
    if (last_event_at_ != instant{}) {
        record_.longest_gap = std::max(record_.longest_gap, now - last_event_at_);
    }
    if (!first_of_attempt) {
        services_.balancer.on_stream_events(*ticket_, count, now - last_event_at_, now);
    }
    last_event_at_ = now;
    record_event_interval(count);
    services_.balancer.on_first_event(*ticket_, now);
    caller_.piece(whole);
    restart_silence_timer();
    pause_if_unread();
}

void exchange::on_complete()
{
    if (failure_head_ && stage_ == stage::buffering) {
        failure_body_ = std::exchange(buffered_body_, {});
        end_attempt(attempt_result::failed);
        retry("backend server failed");
        return;
    }
    const bool events = route_.kind == request_kind::streaming && stage_ != stage::buffering;
    if (events && (events_.has_partial() || stage_ == stage::head_received)) {
        // A stream that ends inside an event, or without any event, is truncated.
        end_attempt(attempt_result::failed);
        attempt_broke("stream truncated");
        return;
    }
    clear_crash_suspicion();
    end_attempt(attempt_result::answered);
    if (stage_ == stage::relaying) {
        record_run_times();
        caller_.end();
        finish(exchange_outcome::answered, head_.status, {});
        return;
    }
    deliver_buffered();
}

void exchange::record_event_interval(std::uint64_t events)
{
    const instant now = services_.now();
    if (attempt_first_event_at_ == instant{}) {
        attempt_first_event_at_ = now;
        record_.attempt_first_ms = static_cast<double>((now - attempt_started_at_).count()) /
                                   static_cast<double>(micros{millis{1}}.count());
        attempt_event_count_ = 0;
        return;
    }
    const bool already_recorded = attempt_event_count_ >= interval_events;
    attempt_event_count_ += events;
    if (!already_recorded && attempt_event_count_ >= interval_events) {
        // Compared across all routes and models of the service: an engine advances all its streams
        // in the same steps.
        services_.rollouts.record_pace(record_.service, {}, record_.version,
                                       (now - attempt_first_event_at_) /
                                           static_cast<std::int64_t>(attempt_event_count_));
    }
}

void exchange::record_run_times()
{
    if (!request_.any_model || attempt_first_event_at_ == instant{} ||
        !attempt_covers_whole_stream_) {
        return;
    }
    const double prefill_ms = services_.balancer.prefill_ms(current_job(), 0);
    services_.models.times().saw(route_.name, current_model(), prefill_ms,
                                 attempt_first_event_at_ - attempt_started_at_,
                                 services_.now() - attempt_first_event_at_);
}

void exchange::deliver_buffered()
{
    head_.fields.remove_hop_by_hop();
    head_.fields.remove("Content-Length");
    const unsigned status = head_.status;
    caller_.respond(std::move(head_), std::exchange(buffered_body_, {}));
    answer_share_.set(answer_bytes());
    finish(exchange_outcome::answered, status, {});
}

void exchange::on_fault(attempt_fault fault)
{
    const bool sent = fault == attempt_fault::silent || fault == attempt_fault::broken ||
                      fault == attempt_fault::stale;
    connection_was_stale_ = fault == attempt_fault::stale || fault == attempt_fault::stale_unsent;
    needs_new_connection_ = needs_new_connection_ || connection_was_stale_;
    const bool head_seen = stage_ != stage::awaiting_head;
    if (sent) {
        count_sent_attempt();
        may_have_run_ = true;
    } else {
        ++unsent_attempts_;
    }
    if (fault == attempt_fault::not_sent && services_.settings.probe_silent_backends) {
        services_.liveness.report_refused_connection(record_.backend);
    }
    const bool broke = fault == attempt_fault::broken || head_seen;
    if (fault == attempt_fault::no_room) {
        end_attempt(attempt_result::refused);
    } else if (fault == attempt_fault::withheld || connection_was_stale_) {
        end_attempt(attempt_result::dropped);
    } else {
        end_attempt(broke ? attempt_result::failed : attempt_result::unreachable);
    }
    if (sent) {
        attempt_broke(describe(fault));
    } else {
        continue_after_break(describe(fault));
    }
}

} // namespace hickorypost::gateway

/// Request lifecycle, part two: the backend server's answer and its relay to the caller.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

constexpr unsigned first_server_failure = 500;
/// Events after a stream's first whose mean interval tells the engine's pace: early enough to act
/// on while the stream runs, enough to smooth single pauses.
constexpr std::uint64_t paced_events = 4;

} // namespace

bool exchange::on_head(http1::response_head& head)
{
    const backend_answer answer = services_.read_answer(head);
    if (!answer.request_id.empty() && answer.request_id != request_.id) {
        return false; // a late extra answer to an earlier request of this connection
    }
    if (!answer.wrong_backend) {
        services_.limits.saw(record_.backend, answer.limit);
    }
    if (!answer.ran) {
        handle_not_run(answer);
        return true;
    }
    count_send();
    may_have_run_ = true;
    const bool counterfeit =
        answer.encoded || (detail::is_success(answer.status) && !answer.signed_body);
    if (counterfeit) {
        end_attempt(attempt_result::failed);
        resume_or_retry("answer without the backend server's signature");
        return true;
    }
    if (stage_ == stage::relaying && !detail::is_success(answer.status)) {
        end_attempt(attempt_result::failed);
        resume_or_retry("backend server failed");
        return true;
    }
    if (answer.status >= first_server_failure) {
        handle_failure_answer(head);
        return true;
    }
    if (!escalate(answer)) {
        start_relay(head);
    }
    return true;
}

void exchange::handle_not_run(const backend_answer& answer)
{
    if (answer.wrong_backend) {
        // Not an attempt of the route's allowance: the intended backend server has not seen it.
        ++unsent_;
        services_.directory.remove(record_.backend, services_.now());
        services_.note(record_, "backend_gone", "another incarnation answers at its address");
    }
    if (!answer.wrong_backend) {
        count_send();
    }
    end_attempt(answer.wrong_backend ? attempt_result::unreachable : attempt_result::refused);
    resume_or_retry("backend server refused");
}

void exchange::handle_failure_answer(http1::response_head& head)
{
    head_ = std::move(head);
    held_.clear();
    stage_ = stage::holding;
    failure_head_ = head_;
}

bool exchange::escalate(const backend_answer& answer)
{
    if (!request_.any_model || !answer.confidence || stage_ == stage::relaying || !may_repeat()) {
        return false;
    }
    if (!route_.models.empty()) {
        const auto& model = route_.models[model_rank_];
        if (!judged_model_.empty() && judged_model_ != model) {
            services_.models.saw_pair(judged_model_, judged_confidence_, model, *answer.confidence);
        }
        judged_model_ = model;
        judged_confidence_ = *answer.confidence;
    }
    std::vector<double> reading;
    reading.reserve(route_.models.size());
    for (const auto& model : route_.models) {
        reading.push_back(services_.balancer.reading_ms(job_of(model), 0));
    }
    const std::uint32_t attempts_left = route_.max_attempts - std::min(sends_, route_.max_attempts);
    const auto spent = std::chrono::duration_cast<millis>(services_.now() - began_);
    const auto rank = services_.models.after(
        {route_, model_rank_, *answer.confidence, spent, time_left(), attempts_left, reading});
    if (rank == model_rank_ || !room_for_another({}) || !repeat_allowed()) {
        return false;
    }
    model_rank_ = rank;
    services_.note(record_, "model_escalated", "confidence below the least accepted");
    end_attempt(attempt_result::dropped);
    try_attempt();
    return true;
}

void exchange::start_relay(http1::response_head& head)
{
    if (stage_ == stage::relaying) {
        return; // the answer keeps the head of its first run
    }
    if (route_.kind == request_kind::streaming && detail::is_success(head.status)) {
        head_ = std::move(head);
        stage_ = stage::pending;
        return;
    }
    services_.balancer.first_answer(*ticket_, services_.now());
    record_.to_first = services_.now() - began_;
    head_ = std::move(head);
    held_.clear();
    stage_ = stage::holding;
}

void exchange::on_body(std::string_view bytes)
{
    const bool events = route_.kind == request_kind::streaming && stage_ != stage::holding;
    if (events) {
        relay_events(bytes);
        return;
    }
    if (failure_head_) {
        held_.append(bytes);
        return;
    }
    if (stage_ == stage::relaying) {
        caller_.piece(bytes);
    } else {
        held_.append(bytes);
        if (held_.size() > services_.settings.held_bytes) {
            stage_ = stage::relaying;
            head_.fields.remove_hop_by_hop();
            head_.fields.remove("Content-Length");
            caller_.begin(head_);
            caller_.piece(std::exchange(held_, {}));
        }
    }
    if (current_ && caller_.unsent() > services_.settings.max_unsent_bytes) {
        current_->set_reading(false);
    }
}

void exchange::relay_events(std::string_view bytes)
{
    const std::uint64_t before = events_.events();
    const std::string whole = events_.push(bytes);
    if (events_.out_of_order()) {
        end_attempt(attempt_result::failed);
        resume_or_retry("events out of order");
        return;
    }
    if (whole.empty()) {
        return;
    }
    if (stage_ != stage::relaying) {
        stage_ = stage::relaying;
        record_.to_first = services_.now() - began_;
        if (const auto target = std::chrono::duration_cast<micros>(route_.target_latency);
            target.count() > 0) {
            services_.models.saw_first(static_cast<double>(record_.to_first.count()) /
                                       static_cast<double>(target.count()));
        }
        head_.fields.remove_hop_by_hop();
        head_.fields.remove("Content-Length");
        caller_.begin(head_);
    }
    const instant now = services_.now();
    const bool first_of_attempt = attempt_first_ == instant{};
    if (last_event_ != instant{}) {
        record_.longest_gap = std::max(record_.longest_gap, now - last_event_);
    }
    if (!first_of_attempt) {
        services_.balancer.more_events(*ticket_, events_.events() - before, now - last_event_, now);
    }
    last_event_ = now;
    note_pace(events_.events() - before);
    services_.balancer.first_answer(*ticket_, now);
    caller_.piece(whole);
    if (current_ && caller_.unsent() > services_.settings.max_unsent_bytes) {
        current_->set_reading(false);
    }
    watch_silence();
}

void exchange::on_complete()
{
    if (failure_head_ && stage_ == stage::holding) {
        failure_body_ = std::exchange(held_, {});
        end_attempt(attempt_result::failed);
        retry("backend server failed");
        return;
    }
    const bool events = route_.kind == request_kind::streaming && stage_ != stage::holding;
    if (events && (events_.has_partial() || stage_ == stage::pending)) {
        // A stream that ends within an event, or with none, is truncated.
        end_attempt(attempt_result::failed);
        attempt_broke("stream ended within an event");
        return;
    }
    note_success();
    end_attempt(attempt_result::answered);
    if (stage_ == stage::relaying) {
        note_run();
        caller_.end();
        finish(exchange_outcome::answered, head_.status, {});
        return;
    }
    deliver_held();
}

void exchange::note_pace(std::uint64_t events)
{
    const instant now = services_.now();
    if (attempt_first_ == instant{}) {
        attempt_first_ = now;
        attempt_events_ = 0;
        return;
    }
    const bool seen = attempt_events_ >= paced_events;
    attempt_events_ += events;
    if (!seen && attempt_events_ >= paced_events) {
        // All streams of a service share its engines' steps, whatever their route and model.
        services_.rollouts.record_pace(record_.service, {}, record_.version,
                                       (now - attempt_first_) /
                                           static_cast<std::int64_t>(attempt_events_));
    }
}

void exchange::note_run()
{
    if (!request_.any_model || attempt_first_ == instant{} || !attempt_is_whole_) {
        return;
    }
    const double reading = services_.balancer.reading_ms(job_now(), 0);
    services_.models.times().saw(route_.name, model_now(), reading, attempt_first_ - attempt_began_,
                                 services_.now() - attempt_first_);
}

void exchange::deliver_held()
{
    head_.fields.remove_hop_by_hop();
    head_.fields.remove("Content-Length");
    const unsigned status = head_.status;
    caller_.respond(std::move(head_), std::exchange(held_, {}));
    finish(exchange_outcome::answered, status, {});
}

void exchange::on_fault(attempt_fault fault)
{
    const bool sent = fault == attempt_fault::silent || fault == attempt_fault::broken;
    const bool head_seen = stage_ != stage::waiting;
    if (sent) {
        count_send();
        may_have_run_ = true;
    } else {
        ++unsent_;
    }
    if (fault == attempt_fault::not_sent && services_.settings.probe_silent_backends) {
        services_.liveness.saw_refusal(record_.backend);
    }
    const bool broke = fault == attempt_fault::broken || head_seen;
    if (fault == attempt_fault::no_room) {
        end_attempt(attempt_result::refused);
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

/// Request lifecycle, part seven: new requests wait while the engines have a backlog.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

constexpr unsigned status_unavailable = 503;
/// A larger backlog than half of the smallest target makes the requests with that target late.
constexpr int backlog_divisor = 2;
/// Clients that retry after a rejection have waited for up to a third of their time.
constexpr int retry_divisor = 3;

} // namespace

micros exchange::max_backlog() const
{
    const bool applies =
        services_.settings.admission && service_ != nullptr && service_->engine.has_value();
    return applies ? table_->smallest_target(record_.service) / backlog_divisor : micros{0};
}

bool exchange::try_admit(const backend_entry& to, std::span<const backend_entry* const> candidates,
                         const job_size& job)
{
    const micros bound = max_backlog();
    // Further attempts and resumed streams do not wait behind new requests.
    const bool is_new = record_.attempts == 0 && !request_.last_event_id;
    if (!is_new || bound <= micros{0}) {
        return true;
    }
    const instant now = services_.now();
    auto& balancer = services_.balancer;
    auto& admission = services_.admission;
    const double work_ms = balancer.prefill_ms(job, 0);
    const double engine_wait_ms = balancer.expected_wait_ms(to);
    scheduling::room at{engine_wait_ms, 0, static_cast<double>(candidates.size()),
                        static_cast<double>(services_.processes())};
    if (micros{static_cast<std::int64_t>(at.wait_ms * 1000)} > bound) {
        // The balancer prefers an engine with a backlog if it has the prompt cached. Capacity is
        // scarce only if the others have one as well.
        at.wait_ms = std::min(at.wait_ms, balancer.least_wait_ms(candidates, job, now));
    }
    scheduling::admission_coordinator::verdict out;
    if (!admission.try_send(record_.service, bound, at, work_ms)) {
        at.first_event_ms =
            at.wait_ms + balancer.expected_first_event_ms(to, job, now) - engine_wait_ms;
        if (admission_id_ == 0) {
            admission_id_ = admission.new_id();
        }
        const millis lost = route_.timeout - services_.settings.answer_margin -
                            std::chrono::duration_cast<millis>(deadline_ - started_at_);
        const scheduling::waiting_request request{
            admission_id_,
            priority(),
            started_at_,
            started_at_ + route_.target_latency,
            deadline_,
            work_ms,
            admission.is_over_share(record_.account),
            std::clamp(lost, millis{0}, route_.timeout / retry_divisor)};
        out = admission.decide(record_.service, bound, request, at, *this);
    }
    const bool has_waited = queued_at_ != instant{};
    switch (out.what) {
    case scheduling::admission::send:
        if (has_waited) {
            record_.waited = time_queued();
            services_.note(record_, "dequeued", "an engine has room");
        }
        return true;
    case scheduling::admission::wait:
        if (!may_begin_late()) {
            reject_for_drain();
            return false;
        }
        if (!has_waited) {
            queued_at_ = now;
            services_.note(record_, "queued", "all engines have a backlog");
        }
        return false;
    case scheduling::admission::reject_hopeless:
        on_hopeless(out.retry_after);
        return false;
    case scheduling::admission::reject_over_share:
        reject_overload(out.retry_after, "account over its share and queue full");
        return false;
    }
    return true;
}

void exchange::on_turn()
{
    try_attempt();
}

void exchange::on_hopeless(millis retry_after)
{
    reject_overload(retry_after, "cannot be answered before its deadline");
}

void exchange::reject_overload(millis retry_after, std::string_view why)
{
    record_.waited = time_queued();
    record_.retry_after = retry_after;
    services_.note(record_, "rejected_overload", why);
    caller_.respond(gateway_response(status_unavailable, retry_after), {});
    finish(exchange_outcome::not_run, status_unavailable, why);
}

micros exchange::time_queued() const
{
    return queued_at_ == instant{} ? micros{0} : services_.now() - queued_at_;
}

bool exchange::may_begin_late() const
{
    return !services_.drain_end || deadline_ <= *services_.drain_end;
}

void exchange::host_drains()
{
    const bool is_queued = queued_at_ != instant{} && record_.attempts == 0;
    if (!finished_ && is_queued && !may_begin_late()) {
        reject_for_drain();
    }
}

void exchange::reject_for_drain()
{
    record_.waited = time_queued();
    stop("host is draining");
}

} // namespace hickorypost::gateway

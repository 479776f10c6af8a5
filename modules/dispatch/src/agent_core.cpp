#include "hickorypost/dispatch/agent_core.h"

#include "hickorypost/dispatch/billing.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>

namespace hickorypost::dispatch {

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr double micros_per_second = 1e6;
constexpr std::int64_t micros_per_milli = 1000;

} // namespace

agent_core::agent_core(node_id self, incarnation life, agent_core_options options,
                       agent_hooks hooks, clock_fn now, wall_clock_fn wall, random_fn random,
                       telemetry::metrics& metrics)
    : self_{std::move(self)}, life_{life}, options_{options}, hooks_{std::move(hooks)},
      now_{std::move(now)}, wall_{std::move(wall)}, random_{std::move(random)}, metrics_{metrics},
      attempts_{options.attempt_memory}
{
}

agent_core::served_backend* agent_core::find_backend(const std::string& name)
{
    const auto it = backends_.find(name);
    return it == backends_.end() ? nullptr : it->second.get();
}

std::optional<wire::refusal> agent_core::check(const wire::start& order,
                                               const served_backend* to) const
{
    // An entry that has not learned of this agent's restart may address the previous incarnation,
    // whose runs are unknown to this one.
    if (order.agent_life != life_) {
        return wire::refusal::wrong_life;
    }
    // If the local records are stale, a version may have been withdrawn without this agent knowing.
    if (!hooks_.fresh()) {
        return wire::refusal::not_fresh;
    }
    const auto& records = hooks_.records();
    const bool service = !order.path.empty();
    const auto verdict = service ? records.check_service(order.key.account, order.target.model)
                                 : records.check(order.key.account, order.target);
    if (verdict == records::verdict::withdrawn) {
        return wire::refusal::withdrawn;
    }
    if (verdict != records::verdict::allowed) {
        return wire::refusal::not_permitted;
    }
    if (to == nullptr || std::find(to->info.offers.begin(), to->info.offers.end(), order.target) ==
                             to->info.offers.end()) {
        return wire::refusal::no_backend;
    }
    if (leaving_ || to->info.leaving) {
        return wire::refusal::leaving;
    }
    return std::nullopt;
}

void agent_core::refuse(const node_id& entry, attempt_id attempt, wire::refusal reason,
                        millis retry_after)
{
    // A refusal guarantees that the attempt did not run, so a start message that arrives later must
    // not start it either.
    attempts_.tombstone(attempt, now_());
    metrics_.count("agent_refused_total");
    hooks_.send(entry,
                wire::refused{attempt, reason, static_cast<std::uint64_t>(retry_after.count())});
}

void agent_core::on_start(const node_id& entry, wire::start order)
{
    const attempt_id attempt = order.attempt;
    if (const auto known = attempts_.state(attempt)) {
        // A duplicate start message, or one delayed until after the attempt was tombstoned. An
        // attempt is never started twice.
        if (*known == admission::attempt_state::tombstoned) {
            refuse(entry, attempt, wire::refusal::tombstoned, millis{0});
        }
        return;
    }
    served_backend* to = find_backend(order.backend);
    if (const auto reason = check(order, to)) {
        refuse(entry, attempt, *reason, options_.refusal_retry);
        return;
    }
    const instant now = now_();
    const instant deadline = now + micros{static_cast<std::int64_t>(order.remaining_us)};
    const auto offered =
        to->queue.offer({attempt, order.key.account, order.weight, order.urgency, deadline}, now);
    if (offered.verdict != admission::offer_verdict::queued) {
        const bool late = offered.verdict == admission::offer_verdict::past_deadline;
        refuse(entry, attempt, late ? wire::refusal::deadline : wire::refusal::overloaded,
               offered.retry_after);
        return;
    }
    attempts_.admit(attempt);
    auto run = std::make_unique<agent_run>();
    run->entry = entry;
    run->queued_at = now;
    run->order = std::move(order);
    const std::string name = run->order.backend;
    runs_[attempt] = std::move(run);
    start_queued(name);
}

void agent_core::refuse_queued(attempt_id attempt, wire::refusal reason)
{
    const auto it = runs_.find(attempt);
    if (it == runs_.end()) {
        return;
    }
    const node_id entry = it->second->entry;
    runs_.erase(it);
    refuse(entry, attempt, reason, options_.refusal_retry);
}

void agent_core::start_queued(const std::string& name)
{
    served_backend* on = find_backend(name);
    if (on == nullptr) {
        return;
    }
    while (const auto job = on->queue.next()) {
        const auto run = runs_.find(job->attempt);
        // Records, the backend server and the deadline may have changed while the attempt was
        // queued, so they are checked again before it starts.
        auto reason = run == runs_.end() ? std::optional{wire::refusal::cancelled}
                                         : check(run->second->order, on);
        if (!reason && job->deadline <= now_()) {
            reason = wire::refusal::deadline;
        }
        if (!reason && !attempts_.begin(job->attempt)) {
            reason = wire::refusal::tombstoned;
        }
        if (reason) {
            on->queue.released(job->urgency);
            refuse_queued(job->attempt, *reason);
            continue;
        }
        begin(*run->second, *on);
    }
}

void agent_core::begin(agent_run& run, const served_backend& on)
{
    run.running = true;
    run.started_at = now_();
    run.started_wall_ms = wall_();
    const auto parent = telemetry::trace_context::parse(run.order.traceparent);
    run.trace = parent ? parent->child(random_) : telemetry::trace_context::make_new(random_);
    const micros waited = run.started_at - run.queued_at;
    const micros left = micros{static_cast<std::int64_t>(run.order.remaining_us)} - waited;
    backend_call call;
    call.attempt = run.order.attempt;
    call.method = run.order.method.empty() ? "POST" : run.order.method;
    call.url = on.url + (run.order.path.empty() ? std::string{chat_path} : run.order.path);
    call.content_type = run.order.content_type;
    call.body = std::move(run.order.body);
    call.traceparent = run.trace.header();
    call.request_id = run.order.key.request;
    call.target = run.order.target;
    call.event_stream = run.order.stream;
    call.non_idempotent = run.order.non_idempotent;
    call.limit = std::max(millis{1}, std::chrono::duration_cast<millis>(left));
    metrics_.count("agent_started_total");
    hooks_.call(call);
}

void agent_core::on_call_head(attempt_id attempt, std::uint32_t http_status, std::string_view type)
{
    if (const auto it = runs_.find(attempt); it != runs_.end()) {
        it->second->end.http_status = http_status;
        it->second->end.content_type = type;
    }
}

void agent_core::on_call_bytes(attempt_id attempt, std::string_view bytes)
{
    const auto it = runs_.find(attempt);
    if (it == runs_.end()) {
        return;
    }
    agent_run& run = *it->second;
    if (run.answer.empty()) {
        run.first_byte_at = now_();
    }
    run.answer.append(bytes);
    send_unsent(run);
}

void agent_core::send_unsent(agent_run& run)
{
    if (run.sent < run.answer.size()) {
        wire::piece out;
        out.attempt = run.order.attempt;
        out.offset = run.sent;
        out.bytes = run.answer.substr(run.sent);
        out.http_status = run.end.http_status;
        out.content_type = run.sent == 0 ? run.end.content_type : std::string{};
        if (!hooks_.send(run.entry, out)) {
            return; // the entry sends wire::resume after it reconnects
        }
        run.sent = run.answer.size();
    }
    if (run.over) {
        hooks_.send(run.entry, run.end);
    }
}

void agent_core::on_call_over(attempt_id attempt, const call_result& result)
{
    const auto it = runs_.find(attempt);
    if (it == runs_.end()) {
        return;
    }
    agent_run& run = *it->second;
    const instant now = now_();
    run.over = true;
    run.running = false;
    run.over_at = now;
    attempts_.end(attempt, now);
    if (served_backend* on = find_backend(run.order.backend); on != nullptr) {
        on->queue.finished(run.order.urgency, now - run.started_at);
        run.end.running = on->queue.running();
        run.end.queued = static_cast<std::uint32_t>(on->queue.waiting());
    }
    run.end.attempt = attempt;
    run.end.outcome = result.outcome;
    run.end.http_status = result.http_status;
    run.end.content_type = result.content_type;
    run.end.bytes = run.answer.size();
    run.end.used = result.used;
    run.end.queued_us = static_cast<std::uint64_t>((run.started_at - run.queued_at).count());
    run.end.ran_us = static_cast<std::uint64_t>((now - run.started_at).count());
    metrics_.count("agent_finished_total");
    metrics_.observe("agent_queue_seconds",
                     static_cast<double>(run.end.queued_us) / micros_per_second);
    metrics_.observe("agent_run_seconds", static_cast<double>(run.end.ran_us) / micros_per_second);
    write_span(run);
    const std::string name = run.order.backend;
    send_unsent(run);
    start_queued(name);
}

void agent_core::write_span(const agent_run& run)
{
    const auto parent = telemetry::trace_context::parse(run.order.traceparent);
    const std::int64_t ended = wall_() * micros_per_milli;
    hooks_.span({run.trace,
                 parent ? parent->span_id : std::string{},
                 "agent.run",
                 ended - static_cast<std::int64_t>(run.end.ran_us),
                 ended,
                 {{"request", run.order.key.request},
                  {"model", run.order.target.model},
                  {"version", run.order.target.version},
                  {"backend", run.order.backend}},
                 run.end.outcome != wire::run_outcome::complete});
}

void agent_core::remove_from_queue(const agent_run& run)
{
    if (served_backend* on = find_backend(run.order.backend); on != nullptr) {
        on->queue.cancel(run.order.attempt);
    }
}

void agent_core::on_cancel(const node_id& entry, const wire::cancel& msg)
{
    const auto it = runs_.find(msg.attempt);
    if (it != runs_.end() && it->second->running) {
        hooks_.cancel_call(msg.attempt, wire::run_outcome::cancelled);
        return;
    }
    if (it != runs_.end() && it->second->over) {
        it->second->entry = entry;
        send_unsent(*it->second);
        return;
    }
    if (it != runs_.end()) {
        remove_from_queue(*it->second);
        runs_.erase(it);
    }
    if (attempts_.state(msg.attempt) == admission::attempt_state::over) {
        return; // the attempt ran and its usage is settled
    }
    refuse(entry, msg.attempt, wire::refusal::cancelled, millis{0});
}

void agent_core::on_resume(const node_id& entry, const wire::resume& msg)
{
    const auto it = runs_.find(msg.attempt);
    if (it == runs_.end()) {
        // The reply may state that the attempt never ran only if it can't start later. The
        // tombstone ensures this: it refuses a start message that is still in transit.
        const bool never = msg.agent_life == life_ && attempts_.tombstone(msg.attempt, now_());
        hooks_.send(entry, wire::unknown_attempt{msg.attempt, never});
        return;
    }
    agent_run& run = *it->second;
    run.entry = entry;
    run.orphaned_at.reset();
    run.sent = std::min<std::size_t>(msg.offset, run.answer.size());
    send_unsent(run);
}

void agent_core::on_settled(const wire::settled& msg)
{
    const auto it = runs_.find(msg.attempt);
    if (it != runs_.end() && it->second->over) {
        runs_.erase(it);
    }
}

void agent_core::on_entry_lost(const node_id& entry)
{
    const instant now = now_();
    for (auto& [attempt, run] : runs_) {
        if (run->entry == entry && !run->orphaned_at) {
            run->orphaned_at = now;
        }
    }
}

void agent_core::handle_orphan(attempt_id attempt, agent_run& run)
{
    if (run.running) {
        hooks_.cancel_call(attempt, wire::run_outcome::cancelled);
    } else if (run.over && !run.billing) {
        bill_orphan(attempt, run);
    }
}

void agent_core::bill_orphan(attempt_id attempt, agent_run& run)
{
    // The entry responsible for billing this run is gone. The ledger accepts only the first usage
    // fact for a request key, so a fact from that entry that is still in transit does no harm.
    run.billing = true;
    const bool complete = run.end.outcome == wire::run_outcome::complete;
    ledger::usage_fact fact;
    fact.key = run.order.key;
    fact.attempt = attempt;
    fact.outcome = complete ? ledger::request_outcome::failed : outcome_of(run.end.outcome);
    fact.started_wall_ms = run.started_wall_ms;
    fact.session = run.order.session;
    fact.non_idempotent = run.order.non_idempotent;
    ledger::stage_line line;
    line.target = run.order.target;
    line.agent = self_;
    line.complete = complete;
    line.used = run.end.used;
    line.cost =
        price_run(hooks_.records(), run.order.target, !run.order.path.empty(), run.end.used);
    line.first_ms = run.answer.empty() ? 0 : to_millis(run.first_byte_at - run.started_at);
    line.total_ms = to_millis(run.over_at - run.started_at);
    fact.lines.push_back(std::move(line));
    hooks_.bill(fact, [this, attempt](bool durable) {
        const auto it = runs_.find(attempt);
        if (it == runs_.end()) {
            return;
        }
        it->second->billing = false;
        if (durable) {
            metrics_.count("agent_orphans_billed_total");
            runs_.erase(it);
        }
    });
}

void agent_core::sweep()
{
    const instant now = now_();
    attempts_.expire(now);
    expire_queued();
    std::vector<attempt_id> orphans;
    for (const auto& [attempt, run] : runs_) {
        if (run->orphaned_at && now >= *run->orphaned_at + options_.orphan_grace) {
            orphans.push_back(attempt);
        }
    }
    for (const auto attempt : orphans) {
        const auto it = runs_.find(attempt);
        if (it == runs_.end()) {
            continue;
        }
        if (it->second->running || it->second->over) {
            handle_orphan(attempt, *it->second);
            continue;
        }
        remove_from_queue(*it->second);
        attempts_.tombstone(attempt, now);
        runs_.erase(it);
    }
    mark_silent_backends_leaving();
}

void agent_core::expire_queued()
{
    const instant now = now_();
    for (auto& [name, on] : backends_) {
        for (const auto& job : on->queue.expire(now)) {
            refuse_queued(job.attempt, wire::refusal::deadline);
        }
    }
}

void agent_core::mark_silent_backends_leaving()
{
    const instant now = now_();
    bool any = false;
    for (auto& [name, on] : backends_) {
        if (now >= on->last_announced + options_.announce_silence && !on->info.leaving) {
            on->info.leaving = true;
            any = true;
        }
    }
    if (any) {
        ++sequence_;
        hooks_.changed();
    }
}

void agent_core::on_announcement(announcement what)
{
    auto& it = backends_[what.info.name];
    const bool added = it == nullptr;
    if (added) {
        it = std::make_unique<served_backend>(admission::queue_options{.slots = what.info.slots});
    }
    const bool changed = added || wire::encode(it->info) != wire::encode(what.info);
    it->info = std::move(what.info);
    it->url = std::move(what.url);
    it->queue.set_slots(std::max(1U, it->info.slots));
    it->last_announced = now_();
    if (changed) {
        ++sequence_;
        hooks_.changed();
    }
}

void agent_core::leave()
{
    leaving_ = true;
    ++sequence_;
    hooks_.changed();
}

wire::agent_info agent_core::describe_self() const
{
    wire::agent_info out;
    out.node = self_;
    out.life = life_;
    out.sequence = sequence_;
    out.leaving = leaving_;
    for (const auto& [name, it] : backends_) {
        out.backends.push_back(it->info);
    }
    return out;
}

} // namespace hickorypost::dispatch

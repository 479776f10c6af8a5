#include "agent_role.h"

#include "billing.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

constexpr millis sweep_period{100};
/// How long an attempt's outcome, or a tombstone, is kept: longer than any start can be on its way.
constexpr millis attempt_memory{120'000};
/// An answer that nobody settled or fetched is dropped after this.
constexpr millis answer_memory{60'000};
/// An entry that lost its connection has this long to come back before a run is taken for orphaned.
constexpr millis orphan_grace{5000};
constexpr millis bill_limit{10'000};
constexpr millis refusal_retry{200};
constexpr millis drain_poll{50};
constexpr guint max_engine_connections = 4096;
constexpr std::size_t max_announcement_bytes = std::size_t{256} << 10U;

} // namespace

agent_role::agent_role(const runtime& env)
    : env_{env}, config_{*env.config.agent}, session_{soup_session_new_with_options(
                                                 "max-conns", max_engine_connections,
                                                 "max-conns-per-host", max_engine_connections,
                                                 "timeout", 0U, nullptr)},
      attempts_{attempt_memory}
{
}

agent_role::~agent_role()
{
    runs_.clear();
    soup_session_abort(session_.get());
}

result<std::unique_ptr<agent_role>> agent_role::start(const runtime& env)
{
    std::unique_ptr<agent_role> out{new agent_role{env}};
    BOOST_LEAF_CHECK(out->open_network());
    out->open_control();
    out->sweep_timer_ = net::timer::every(sweep_period, [raw = out.get()] { raw->sweep(); });
    env.log->info("agent up: links on port {}, announcements on port {}", out->listener_->port(),
                  out->http_->port());
    return out;
}

result<void> agent_role::open_network()
{
    net::link_hooks hooks;
    hooks.up = [this](net::link& it) { links_[&it] = true; };
    hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
        on_message(it, type, body);
    };
    hooks.down = [this](net::link& it, std::string_view) { on_link_down(it); };
    BOOST_LEAF_ASSIGN(listener_,
                      net::listener::open(config_.listen, env_.hello(wire::node_role::agent),
                                          env_.tls, {}, std::move(hooks)));
    // Backend servers on the same host announce themselves over plain HTTP.
    BOOST_LEAF_ASSIGN(http_, http_server::open(config_.http, nullptr, max_announcement_bytes,
                                               [this](const auto& it) { on_http(it); }));
    return {};
}

void agent_role::open_control()
{
    control_client_hooks hooks;
    hooks.records_changed = [] {};
    hooks.directory_changed = [](const wire::directory_reply&) {};
    hooks.granted = [](const wire::exposure_grant&) {};
    hooks.link_up = [this](net::link& it) { it.send(wire::announce{describe_self()}); };
    hooks.ask_peers = [this](const wire::fresh_query& query) {
        for (const auto& [link, up] : links_) {
            link->send(query);
        }
    };
    control_ = std::make_unique<control_client>(env_, wire::node_role::agent, config_.control,
                                                control_client_options{}, std::move(hooks));
}

void agent_role::on_message(net::link& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::start:
        if (auto msg = wire::try_decode<wire::start>(body)) {
            on_start(from, std::move(*msg));
        }
        return;
    case wire::message_type::cancel:
        if (const auto msg = wire::try_decode<wire::cancel>(body)) {
            on_cancel(from, msg->attempt);
        }
        return;
    case wire::message_type::resume:
        if (const auto msg = wire::try_decode<wire::resume>(body)) {
            on_resume(from, *msg);
        }
        return;
    case wire::message_type::settled:
        if (const auto msg = wire::try_decode<wire::settled>(body)) {
            on_settled(msg->attempt);
        }
        return;
    case wire::message_type::fresh_query:
        if (const auto msg = wire::try_decode<wire::fresh_query>(body)) {
            from.send(control_->records().answer(*msg, env_.now()));
        }
        return;
    case wire::message_type::fresh_reply:
        if (const auto msg = wire::try_decode<wire::fresh_reply>(body)) {
            control_->take_peer_mark(*msg);
        }
        return;
    default:
        return; // a message of a later release
    }
}

std::optional<wire::refusal> agent_role::check(const wire::start& order, served_backend* to)
{
    if (order.agent_life != env_.life) {
        return wire::refusal::wrong_life;
    }
    // Without a fresh mark a withdrawal may be in force elsewhere that is not known here.
    if (!control_->fresh()) {
        return wire::refusal::not_fresh;
    }
    const auto& records = control_->records().state();
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

void agent_role::refuse(net::link& to, attempt_id attempt, wire::refusal reason, millis retry_after)
{
    // A refusal says "did not run": nothing that arrives later may start this attempt.
    attempts_.tombstone(attempt, env_.now());
    env_.metrics.count("agent_refused_total");
    to.send(wire::refused{attempt, reason, static_cast<std::uint64_t>(retry_after.count())});
}

void agent_role::on_start(net::link& from, wire::start order)
{
    const attempt_id attempt = order.attempt;
    if (const auto known = attempts_.state(attempt)) {
        if (*known == admission::attempt_state::tombstoned) {
            refuse(from, attempt, wire::refusal::tombstoned, millis{0});
        }
        return; // a duplicate of one that is queued, running or over
    }
    const auto found = backends_.find(order.backend);
    served_backend* to = found == backends_.end() ? nullptr : found->second.get();
    if (const auto reason = check(order, to)) {
        refuse(from, attempt, *reason, refusal_retry);
        return;
    }
    const instant now = env_.now();
    const instant deadline = now + micros{static_cast<std::int64_t>(order.remaining_us)};
    const auto offered =
        to->queue.offer({attempt, order.key.account, order.weight, order.urgency, deadline}, now);
    if (offered.verdict != admission::offer_verdict::queued) {
        const bool late = offered.verdict == admission::offer_verdict::past_deadline;
        refuse(from, attempt, late ? wire::refusal::deadline : wire::refusal::overloaded,
               offered.retry_after);
        return;
    }
    attempts_.admit(attempt);
    auto run = std::make_unique<agent_run>();
    run->to = from.weak_from_this();
    run->entry = from.peer().node;
    run->queued_at = now;
    run->order = std::move(order);
    const std::string name = run->order.backend;
    runs_[attempt] = std::move(run);
    pump(name);
}

void agent_role::pump(const std::string& name)
{
    const auto found = backends_.find(name);
    if (found == backends_.end()) {
        return;
    }
    while (auto job = found->second->queue.next()) {
        const auto run = runs_.find(job->attempt);
        const instant now = env_.now();
        const bool live = run != runs_.end();
        // The wait may have outlasted the records it was admitted under: check again at the start.
        const auto reason =
            live ? check(run->second->order, found->second.get()) : wire::refusal::cancelled;
        const bool late = live && job->deadline <= now;
        if (!live || reason || late || !attempts_.begin(job->attempt)) {
            found->second->queue.finished(job->urgency, micros{0});
            if (live) {
                if (const auto link = run->second->to.lock()) {
                    refuse(*link, job->attempt, reason.value_or(wire::refusal::deadline),
                           refusal_retry);
                }
                attempts_.tombstone(job->attempt, now);
                runs_.erase(run);
            }
            continue;
        }
        begin(*run->second, *found->second);
    }
}

void agent_role::begin(agent_run& run, served_backend& on)
{
    const attempt_id attempt = run.order.attempt;
    run.running = true;
    run.started_at = env_.now();
    run.started_wall_ms = env_.wall();
    const auto parent = telemetry::trace_context::parse(run.order.traceparent);
    run.trace =
        parent ? parent->child(env_.random) : telemetry::trace_context::make_new(env_.random);
    engine_request request;
    request.method = run.order.method.empty() ? "POST" : run.order.method;
    request.url = on.url + (run.order.path.empty() ? "/v1/chat/completions" : run.order.path);
    request.content_type = run.order.content_type;
    request.body = std::move(run.order.body);
    request.traceparent = run.trace.header();
    request.request_id = run.order.key.request;
    request.event_stream = run.order.stream;
    const micros waited = run.started_at - run.queued_at;
    const micros left = micros{static_cast<std::int64_t>(run.order.remaining_us)} - waited;
    request.limit = std::max(millis{1}, std::chrono::duration_cast<millis>(left));
    engine_call_hooks hooks;
    hooks.head = [this, attempt](std::uint32_t status, std::string_view type) {
        if (const auto it = runs_.find(attempt); it != runs_.end()) {
            it->second->end.http_status = status;
            it->second->end.content_type = type;
        }
    };
    hooks.bytes = [this, attempt](std::string_view bytes) { on_bytes(attempt, bytes); };
    hooks.over = [this, attempt](const engine_result& result) { on_over(attempt, result); };
    env_.metrics.count("agent_started_total");
    run.call = std::make_unique<engine_call>(session_.get(), request, std::move(hooks));
}

void agent_role::on_bytes(attempt_id attempt, std::string_view bytes)
{
    const auto it = runs_.find(attempt);
    if (it == runs_.end()) {
        return;
    }
    agent_run& run = *it->second;
    if (run.answer.empty()) {
        run.first_byte_at = env_.now();
    }
    run.answer.append(bytes);
    send_rest(run);
}

void agent_role::send_rest(agent_run& run)
{
    const auto link = run.to.lock();
    if (!link || !link->is_up()) {
        return;
    }
    if (run.sent < run.answer.size()) {
        wire::piece out{
            run.order.attempt, run.sent, run.answer.substr(run.sent), run.end.http_status, {}};
        if (run.sent == 0) {
            out.content_type = run.end.content_type;
        }
        link->send(out);
        run.sent = run.answer.size();
    }
    if (run.over) {
        link->send(run.end);
    }
}

void agent_role::on_over(attempt_id attempt, const engine_result& result)
{
    const auto it = runs_.find(attempt);
    if (it == runs_.end()) {
        return;
    }
    agent_run& run = *it->second;
    const instant now = env_.now();
    run.over = true;
    run.running = false;
    run.over_at = now;
    attempts_.end(attempt, now);
    const auto backend = backends_.find(run.order.backend);
    if (backend != backends_.end()) {
        backend->second->queue.finished(run.order.urgency, now - run.started_at);
        run.end.running = backend->second->queue.running();
        run.end.queued = static_cast<std::uint32_t>(backend->second->queue.waiting());
    }
    run.end.attempt = attempt;
    run.end.outcome = result.outcome;
    run.end.http_status = result.http_status;
    run.end.content_type = result.content_type;
    run.end.bytes = run.answer.size();
    run.end.used = result.used;
    run.end.queued_us = static_cast<std::uint64_t>((run.started_at - run.queued_at).count());
    run.end.ran_us = static_cast<std::uint64_t>((now - run.started_at).count());
    env_.metrics.count("agent_finished_total");
    env_.metrics.observe("agent_queue_seconds", static_cast<double>(run.end.queued_us) / 1e6);
    env_.metrics.observe("agent_run_seconds", static_cast<double>(run.end.ran_us) / 1e6);
    write_span(run);
    send_rest(run);
    const std::string name = run.order.backend;
    // The call's callback is still on the stack; let go of it from the loop.
    net::post(g_main_context_get_thread_default(), [this, attempt] {
        if (const auto done = runs_.find(attempt); done != runs_.end()) {
            done->second->call.reset();
        }
    });
    pump(name);
}

void agent_role::write_span(const agent_run& run)
{
    if (!env_.spans.active()) {
        return;
    }
    const auto parent = telemetry::trace_context::parse(run.order.traceparent);
    const std::int64_t ended = env_.wall() * 1000;
    env_.spans.write({run.trace,
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

void agent_role::on_cancel(net::link& from, attempt_id attempt)
{
    const auto it = runs_.find(attempt);
    if (it != runs_.end() && it->second->running) {
        if (it->second->call) {
            it->second->call->cancel(wire::run_outcome::cancelled);
        }
        return;
    }
    if (it != runs_.end() && it->second->over) {
        send_rest(*it->second);
        return;
    }
    if (it != runs_.end()) {
        if (const auto backend = backends_.find(it->second->order.backend);
            backend != backends_.end()) {
            backend->second->queue.cancel(attempt);
        }
        runs_.erase(it);
    }
    refuse(from, attempt, wire::refusal::cancelled, millis{0});
}

void agent_role::on_resume(net::link& from, const wire::resume& msg)
{
    const auto it = runs_.find(msg.attempt);
    if (it == runs_.end()) {
        const bool never =
            msg.agent_life == env_.life && attempts_.tombstone(msg.attempt, env_.now());
        from.send(wire::unknown_attempt{msg.attempt, never});
        return;
    }
    agent_run& run = *it->second;
    run.to = from.weak_from_this();
    run.entry = from.peer().node;
    run.orphaned_at = instant{};
    run.sent = std::min<std::size_t>(msg.offset, run.answer.size());
    send_rest(run);
}

void agent_role::on_settled(attempt_id attempt)
{
    const auto it = runs_.find(attempt);
    if (it != runs_.end() && it->second->over) {
        runs_.erase(it);
    }
}

void agent_role::on_link_down(net::link& from)
{
    links_.erase(&from);
    const instant now = env_.now();
    for (auto& [attempt, run] : runs_) {
        const auto link = run->to.lock();
        if (link.get() == &from) {
            run->to.reset();
            run->orphaned_at = now;
        }
    }
}

void agent_role::bill_orphan(attempt_id attempt, agent_run& run)
{
    // The entry that should have billed this run is gone. The ledger takes the first fact by key,
    // so it does not matter if that entry's own fact is still on its way.
    run.billing = true;
    ledger::usage_fact fact;
    fact.key = run.order.key;
    fact.attempt = attempt;
    fact.outcome = run.end.outcome == wire::run_outcome::complete ? ledger::request_outcome::failed
                                                                  : outcome_of(run.end.outcome);
    fact.started_wall_ms = run.started_wall_ms;
    fact.session = run.order.session;
    fact.non_idempotent = run.order.non_idempotent;
    const auto& records = control_->records().state();
    const std::int64_t cost =
        price_run(records, run.order.target, !run.order.path.empty(), run.end.used);
    fact.lines.push_back({run.order.target, env_.config.node.name,
                          run.end.outcome == wire::run_outcome::complete, run.end.used, cost,
                          to_millis(run.first_byte_at - run.started_at),
                          to_millis(run.over_at - run.started_at)});
    const auto group = ledger::group_of(fact.key, control_->ledger_groups());
    ledger::ledger_batch batch;
    batch.commands.push_back({std::nullopt, std::nullopt, std::move(fact)});
    control_->propose(1 + group, wire::encode(batch), bill_limit,
                      [this, attempt](wire::reply_status status, std::string_view) {
                          const auto it = runs_.find(attempt);
                          if (it == runs_.end()) {
                              return;
                          }
                          it->second->billing = false;
                          if (status == wire::reply_status::done) {
                              env_.metrics.count("agent_orphans_billed_total");
                              runs_.erase(it);
                          }
                      });
}

void agent_role::sweep()
{
    const instant now = env_.now();
    attempts_.expire(now);
    expire_queued();
    std::vector<attempt_id> dead;
    for (auto& [attempt, run] : runs_) {
        const bool orphan = run->orphaned_at != instant{} && now >= run->orphaned_at + orphan_grace;
        if (orphan && run->running && run->call) {
            run->call->cancel(wire::run_outcome::cancelled);
        }
        if (orphan && run->over && !run->billing) {
            bill_orphan(attempt, *run);
        }
        if (orphan && !run->over && !run->running) {
            dead.push_back(attempt);
        }
    }
    for (const auto attempt : dead) {
        if (const auto backend = backends_.find(runs_[attempt]->order.backend);
            backend != backends_.end()) {
            backend->second->queue.cancel(attempt);
        }
        attempts_.tombstone(attempt, now);
        runs_.erase(attempt);
    }
    for (auto& [name, it] : backends_) {
        const bool silent = now >= it->last_announced + config_.announce_silence;
        if (silent && !it->info.leaving) {
            env_.log->warn("backend server {} has fallen silent", name);
            it->info.leaving = true;
            announce();
        }
    }
}

void agent_role::expire_queued()
{
    const instant now = env_.now();
    for (auto& [name, it] : backends_) {
        for (const auto& job : it->queue.expire(now)) {
            const auto run = runs_.find(job.attempt);
            if (run == runs_.end()) {
                continue;
            }
            if (const auto link = run->second->to.lock()) {
                refuse(*link, job.attempt, wire::refusal::deadline, refusal_retry);
            }
            attempts_.tombstone(job.attempt, now);
            runs_.erase(run);
        }
    }
}

wire::agent_info agent_role::describe_self() const
{
    wire::agent_info out;
    out.node = env_.config.node.name;
    out.life = env_.life;
    out.sequence = sequence_;
    out.address = config_.advertise;
    out.port = listener_->port();
    out.failure_domain = env_.config.node.failure_domain;
    out.leaving = leaving_;
    for (const auto& [name, it] : backends_) {
        out.backends.push_back(it->info);
    }
    return out;
}

void agent_role::announce()
{
    ++sequence_;
    control_->broadcast(wire::announce{describe_self()});
    for (const auto& [link, up] : links_) {
        link->send(wire::announce{describe_self()});
    }
}

void agent_role::on_http(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->respond(200, "text/plain", {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = !leaving_ && control_->fresh();
        exchange->respond(ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        exchange->respond(200, "text/plain; version=0.0.4", {}, env_.metrics.text());
    } else if (path == "/announce" && exchange->method() == "POST") {
        take_announcement(exchange);
    } else {
        exchange->respond(404, "text/plain", {}, "no such resource\n");
    }
}

void agent_role::take_announcement(const std::shared_ptr<http_exchange>& exchange)
{
    const auto json = nlohmann::json::parse(exchange->body(), nullptr, false);
    const auto text = [&](const char* key) {
        return json.contains(key) && json[key].is_string() ? json[key].get<std::string>()
                                                           : std::string{};
    };
    if (!json.is_object() || text("name").empty() || text("url").empty()) {
        exchange->respond(400, "text/plain", {},
                          "expected a JSON object with name, url, kind, offers, slots\n");
        return;
    }
    wire::backend_info info;
    info.name = text("name");
    info.kind =
        text("kind") == "service" ? wire::backend_kind::service : wire::backend_kind::engine;
    info.slots = json.value("slots", 1U);
    info.checks_fence = json.value("checks_fence", false);
    info.leaving = json.value("leaving", false);
    if (json.contains("offers") && json["offers"].is_array()) {
        for (const auto& it : json["offers"]) {
            if (it.is_object()) {
                info.offers.push_back({it.value("model", ""), it.value("version", "")});
            }
        }
    }
    auto& it = backends_[info.name];
    const bool added = it == nullptr;
    if (added) {
        it = std::make_unique<served_backend>(admission::queue_options{.slots = info.slots});
    }
    const bool changed = added || wire::encode(it->info) != wire::encode(info);
    it->info = std::move(info);
    it->url = text("url");
    it->queue.set_slots(it->info.slots);
    it->last_announced = env_.now();
    if (changed) {
        announce();
    }
    exchange->respond(200, "text/plain", {}, "taken\n");
}

bool agent_role::idle() const
{
    return std::all_of(runs_.begin(), runs_.end(), [](const auto& it) { return it.second->over; });
}

void agent_role::drain(std::function<void()> done)
{
    leaving_ = true;
    announce();
    drained_ = std::move(done);
    drain_limit_timer_ = net::timer::once(config_.drain_limit, [this] { drained_(); });
    drain_timer_ = net::timer::every(drain_poll, [this] {
        // Answers still wait here until their entries have settled them.
        if (idle() && runs_.empty()) {
            drain_timer_.cancel();
            drained_();
        }
    });
}

} // namespace hickorypost

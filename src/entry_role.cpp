#include "entry_role.h"

#include "hickorypost/dispatch/caller_types.h"
#include "secret.h"

#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

constexpr millis exposure_period{100};
constexpr millis drain_poll{20};
/// The balancer has this long to see that readiness is off before the last answer ends the process.
constexpr millis drain_settle{500};
constexpr std::size_t max_sessions = 200'000;

} // namespace

entry_role::entry_role(const runtime& env)
    : env_{env}, config_{*env.config.entry},
      router_{{.how = routing::parse_policy(config_.routing_policy)
                          .value_or(routing::policy::expected_time)},
              env.random},
      retries_{{.ratio = config_.retry_ratio}}, cascades_{env.random},
      exposure_{{}, env.random, static_cast<std::uint64_t>(env.wall())}, sessions_{max_sessions},
      ratings_{env, config_.rating_url}, control_{env,
                                                  wire::node_role::entry,
                                                  config_.control,
                                                  {},
                                                  control_hooks()},
      agents_{env,
              router_,
              config_.max_agents,
              {[this](net::link& from, const wire::fresh_query& query) {
                   from.send(control_.records().answer(query, env_.now()));
               },
               [this](const wire::fresh_reply& reply) { control_.take_fresh(reply); }}},
      ledger_{env, control_}, services_{make_services()}
{
}

entry_role::~entry_role() = default;

control_client_hooks entry_role::control_hooks()
{
    control_client_hooks out;
    out.records_changed = [] {};
    out.directory_changed = [this](const wire::directory_reply& reply) {
        agents_.take_directory(reply);
    };
    out.granted = [this](const wire::exposure_grant& grant) {
        exposure_.apply_grant(grant, env_.now());
    };
    out.link_up = [](net::link&) {};
    out.ask_peers = [this](const wire::fresh_query& query) { agents_.ask_any(query); };
    return out;
}

result<std::unique_ptr<entry_role>> entry_role::start(const runtime& env)
{
    std::unique_ptr<entry_role> out{new entry_role{env}};
    auto* raw = out.get();
    BOOST_LEAF_ASSIGN(out->http_,
                      http_server::open(out->config_.http, env.tls,
                                        body_limits::of_machine(out->config_.max_body_bytes),
                                        [raw](const auto& it) { raw->on_http(it); }));
    out->control_.follow_directory();
    out->exposure_timer_ = net::timer::every(exposure_period, [raw] { raw->report_exposure(); });
    env.metrics.on_collect([raw](telemetry::metrics& to) { raw->collect_metrics(to); });
    env.log->info("entry up: callers on port {}", out->http_->port());
    return out;
}

void entry_role::on_http(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->respond(200, "text/plain", {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = !draining_ && control_.fresh() && agents_.links_up() > 0;
        exchange->respond(ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        exchange->respond(200, "text/plain; version=0.0.4", {}, env_.metrics.text());
    } else if (path == "/v1/models") {
        list_models(exchange);
    } else {
        serve(exchange);
    }
}

dispatch::request_services entry_role::make_services()
{
    return {env_.now,
            env_.wall,
            env_.random,
            [this]() -> const records::records_state& { return control_.records().state(); },
            [this] { return control_.fresh(); },
            [this] { return control_.ledger_groups(); },
            [this](const node_id& agent, const dispatch::agent_order& order) {
                return std::visit([&](const auto& msg) { return agents_.send(agent, msg); }, order);
            },
            [this](attempt_id attempt, const node_id& agent, dispatch::attempt_hook hook) {
                agents_.listen(attempt, agent, std::move(hook));
            },
            [this](attempt_id attempt) { agents_.forget(attempt); },
            [this](std::uint32_t group, ledger::ledger_command command, millis limit,
                   dispatch::ledger_reply_fn done) {
                ledger_.write(group, std::move(command), limit, std::move(done));
            },
            [this] { return ratings_.active(); },
            [this](const model_version& version, std::string_view question, std::string_view answer,
                   millis limit, dispatch::rating_fn done) {
                ratings_.rate(version, question, answer, limit, std::move(done));
            },
            router_,
            retries_,
            cascades_,
            exposure_,
            limiter_,
            sessions_,
            env_.metrics,
            config_.default_timeout};
}

namespace {

/// A flow with the caller and the timers that it runs on; lives until the flow is over.
struct served_request {
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<dispatch::request_flow> flow;
    net::timer deadline;
    net::timer link;
};

dispatch::caller_input input_of(const http_exchange& exchange)
{
    dispatch::caller_input out;
    out.method = exchange.method();
    out.path = exchange.path();
    if (const auto key = bearer_key(exchange.header("Authorization")); !key.empty()) {
        out.key_sha256 = sha256_hex(key);
    }
    out.idempotency_key = exchange.header("Idempotency-Key");
    out.timeout_ms = exchange.header("Hickorypost-Timeout-Ms");
    out.non_idempotent = exchange.header("Hickorypost-Non-Idempotent");
    out.session = exchange.header("Hickorypost-Session");
    out.task = exchange.header("Hickorypost-Task");
    out.traceparent = exchange.header("traceparent");
    out.body = exchange.body();
    return out;
}

dispatch::caller_hooks hooks_for(const std::shared_ptr<served_request>& served,
                                 std::function<void(const dispatch::request_flow&)> over)
{
    // The flow owns these hooks, so they must not own the flow; `served` lives until `over`.
    served_request* it = served.get();
    dispatch::caller_hooks out;
    out.respond = [it](unsigned status, std::string_view type, const auto& headers,
                       std::string_view body) {
        it->exchange->respond(status, type, headers, body);
    };
    out.start_stream = [it](std::string_view type, const auto& headers) {
        it->exchange->start_stream(200, type, headers);
    };
    out.write = [it](std::string_view bytes) { it->exchange->write(bytes); };
    out.finish_stream = [it] { it->exchange->finish_stream(); };
    const auto timer_of = [it](dispatch::flow_timer which) -> net::timer& {
        return which == dispatch::flow_timer::deadline ? it->deadline : it->link;
    };
    out.start_timer = [it, timer_of](dispatch::flow_timer which, millis delay) {
        timer_of(which) = net::timer::once(delay, [it, which] { it->flow->on_timer(which); });
    };
    out.stop_timer = [timer_of](dispatch::flow_timer which) { timer_of(which).cancel(); };
    out.over = [it, keep = served, over = std::move(over)]() mutable {
        over(*it->flow);
        // Called from inside the flow: what it stands on is let go from the loop.
        net::post(g_main_context_get_thread_default(),
                  [held = std::exchange(keep, nullptr)] { held->flow.reset(); });
    };
    return out;
}

} // namespace

void entry_role::serve(const std::shared_ptr<http_exchange>& exchange)
{
    ++in_flight_;
    auto served = std::make_shared<served_request>();
    served->exchange = exchange;
    // In flight until its bill is settled and its last byte has left: a shutdown that ended the
    // process in between would cut off the end of an answer that looks complete here.
    const auto part_done = [this, left = std::make_shared<int>(2)] {
        if (--*left == 0) {
            --in_flight_;
            check_drained();
        }
    };
    exchange->on_sent(part_done);
    auto hooks = hooks_for(served, [this, part_done](const dispatch::request_flow& flow) {
        write_span(flow);
        part_done();
    });
    served->flow =
        std::make_shared<dispatch::request_flow>(services_, input_of(*exchange), std::move(hooks));
    exchange->on_gone([weak = std::weak_ptr{served->flow}] {
        if (const auto flow = weak.lock()) {
            flow->caller_gone();
        }
    });
    served->flow->begin();
}

void entry_role::write_span(const dispatch::request_flow& flow)
{
    if (!env_.spans.active()) {
        return;
    }
    constexpr std::int64_t micros_per_milli = 1000;
    const std::int64_t ended = env_.wall() * micros_per_milli;
    const auto& fact = flow.fact();
    env_.spans.write({flow.trace(),
                      flow.parent_span(),
                      "entry.request",
                      ended - (env_.now() - flow.arrived()).count(),
                      ended,
                      {{"request", fact.key.request},
                       {"account", fact.key.account},
                       {"outcome", std::string{ledger::name_of(fact.outcome)}}},
                      fact.outcome != ledger::request_outcome::complete});
}

void entry_role::list_models(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& records = control_.records().state();
    const auto key = bearer_key(exchange->header("Authorization"));
    const auto* account = records.account_by_key_hash(sha256_hex(key));
    if (account == nullptr) {
        exchange->respond(401, "application/json", {}, R"({"error":{"type":"unknown_account"}})");
        return;
    }
    auto data = nlohmann::json::array();
    for (const auto& [name, model] : records.models()) {
        for (const auto& it : model.versions) {
            if (records.check(account->name, {name, it.version}) == records::verdict::allowed) {
                data.push_back({{"id", name + "@" + it.version}, {"object", "model"}});
            }
        }
    }
    exchange->respond(200, "application/json", {},
                      nlohmann::json{{"object", "list"}, {"data", data}}.dump());
}

void entry_role::report_exposure()
{
    if (const auto request = exposure_.due(env_.now())) {
        control_.broadcast(*request);
    }
}

void entry_role::drain(std::function<void()> done)
{
    draining_ = true;
    drained_ = std::move(done);
    drain_settled_ = env_.now() + drain_settle;
    drain_until_ = env_.now() + config_.drain_limit;
    drain_timer_ = net::timer::every(drain_poll, [this] { check_drained(); });
}

void entry_role::check_drained()
{
    if (!draining_ || !drained_ || !drain_timer_.armed()) {
        return;
    }
    const instant now = env_.now();
    const bool empty = in_flight_ == 0 && ledger_.waiting() == 0;
    if ((empty && now >= drain_settled_) || now >= drain_until_) {
        drain_timer_.cancel();
        drained_();
    }
}

void entry_role::collect_metrics(telemetry::metrics& to)
{
    control_.collect_metrics(to);
    to.set("entry_in_flight", static_cast<double>(in_flight_));
    to.set("entry_agents_linked", static_cast<double>(agents_.links_up()));
    to.set("entry_backends_known", static_cast<double>(router_.size()));
    to.set("entry_sessions_cached", static_cast<double>(sessions_.size()));
    to.set("entry_ledger_waiting", static_cast<double>(ledger_.waiting()));
    to.set("records_index", static_cast<double>(control_.records().state().index()));
    to.set("lease_left_seconds",
           static_cast<double>(control_.records().lease_left(env_.now()).count()) / 1e6);
}

} // namespace hickorypost

#include "entry_role.h"

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
      router_{{.how = routing::policy_named(config_.routing_policy)
                          .value_or(routing::policy::expected_time)},
              env.random},
      retries_{{.ratio = config_.retry_ratio}}, cascades_{env.random},
      exposure_{{}, env.random, static_cast<std::uint64_t>(env.wall())}, sessions_{max_sessions},
      ratings_{env, config_.rating_url}, control_{std::make_unique<control_client>(
                                             env, wire::node_role::entry, config_.control,
                                             control_client_options{}, control_hooks())},
      agents_{env,
              router_,
              config_.max_agents,
              {[this](net::link& from, const wire::fresh_query& query) {
                   from.send(control_->records().answer(query, env_.now()));
               },
               [this](const wire::fresh_reply& reply) { control_->take_peer_mark(reply); }}},
      ledger_{std::make_unique<ledger_writer>(env, *control_)},
      services_{new entry_services{env, config_, *control_, agents_, *ledger_, router_, retries_,
                                   cascades_, exposure_, limiter_, sessions_, ratings_}}
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
        exposure_.take_grant(grant, env_.now());
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
                      http_server::open(out->config_.http, env.tls, out->config_.max_body_bytes,
                                        [raw](const auto& it) { raw->on_http(it); }));
    out->control_->follow_directory();
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
        const bool ready = !draining_ && control_->fresh() && agents_.links_up() > 0;
        exchange->respond(ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        exchange->respond(200, "text/plain; version=0.0.4", {}, env_.metrics.text());
    } else if (path == "/v1/models") {
        list_models(exchange);
    } else {
        serve(exchange);
    }
}

void entry_role::serve(const std::shared_ptr<http_exchange>& exchange)
{
    ++in_flight_;
    auto request = std::make_shared<caller_request>(*services_, exchange, [this] {
        --in_flight_;
        check_drained();
    });
    request->begin();
}

void entry_role::list_models(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& records = control_->records().state();
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
        control_->broadcast(*request);
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
    const bool empty = in_flight_ == 0 && ledger_->waiting() == 0;
    if ((empty && now >= drain_settled_) || now >= drain_until_) {
        drain_timer_.cancel();
        drained_();
    }
}

void entry_role::collect_metrics(telemetry::metrics& to)
{
    to.set("entry_in_flight", static_cast<double>(in_flight_));
    to.set("entry_agents_linked", static_cast<double>(agents_.links_up()));
    to.set("entry_backends_known", static_cast<double>(router_.size()));
    to.set("entry_sessions_cached", static_cast<double>(sessions_.size()));
    to.set("entry_ledger_waiting", static_cast<double>(ledger_->waiting()));
    to.set("records_index", static_cast<double>(control_->records().state().index()));
    to.set("lease_left_seconds",
           static_cast<double>(control_->records().lease_left(env_.now()).count()) / 1e6);
}

} // namespace hickorypost

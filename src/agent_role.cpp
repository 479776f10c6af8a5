#include "agent_role.h"

#include "hickorypost/ledger/ledger_state.h"
#include "hickorypost/wire/codec.h"

#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

constexpr millis sweep_period{100};
constexpr millis bill_limit{10'000};
constexpr millis drain_poll{50};
constexpr guint max_engine_connections = 4096;
constexpr std::size_t max_announcement_bytes = std::size_t{256} << 10U;

} // namespace

agent_role::agent_role(const runtime& env)
    : env_{env}, config_{*env.config.agent}, session_{soup_session_new_with_options(
                                                 "max-conns", max_engine_connections,
                                                 "max-conns-per-host", max_engine_connections,
                                                 "timeout", 0U, nullptr)},
      core_{env.config.node.name, env.life,   {.announce_silence = config_.announce_silence},
            core_hooks(),         env.now,    env.wall,
            env.random,           env.metrics},
      control_{env, wire::node_role::agent, config_.control, {}, control_hooks()}, ledger_{env,
                                                                                           control_}
{
}

agent_role::~agent_role()
{
    calls_.clear();
    soup_session_abort(session_.get());
}

result<std::unique_ptr<agent_role>> agent_role::start(const runtime& env)
{
    std::unique_ptr<agent_role> out{new agent_role{env}};
    BOOST_LEAF_CHECK(out->open_network());
    auto* raw = out.get();
    out->sweep_timer_ = net::timer::every(sweep_period, [raw] { raw->core_.sweep(); });
    env.metrics.on_collect([raw](telemetry::metrics& to) { raw->collect_metrics(to); });
    env.log->info("agent up: links on port {}, announcements on port {}", out->listener_->port(),
                  out->http_->port());
    return out;
}

result<void> agent_role::open_network()
{
    net::link_hooks hooks;
    hooks.up = [this](net::link& it) { on_link_up(it); };
    hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
        on_message(it, type, body);
    };
    hooks.down = [this](net::link& it, std::string_view) { on_link_down(it); };
    BOOST_LEAF_ASSIGN(listener_,
                      net::listener::open(config_.listen, env_.hello(wire::node_role::agent),
                                          env_.tls, {}, std::move(hooks)));
    // Backend servers on the same host announce themselves over plain HTTP.
    BOOST_LEAF_ASSIGN(http_, http_server::open(config_.http, nullptr,
                                               body_limits::of_machine(max_announcement_bytes),
                                               [this](const auto& it) { on_http(it); }));
    return {};
}

control_client_hooks agent_role::control_hooks()
{
    control_client_hooks out;
    out.records_changed = [] {};
    out.directory_changed = [](const wire::directory_reply&) {};
    out.granted = [](const wire::exposure_grant&) {};
    out.link_up = [this](net::link& it) {
        if (listener_) {
            it.send(wire::announce{describe_self()});
        }
    };
    out.ask_peers = [this](const wire::fresh_query& query) {
        for (const auto& [entry, links] : links_) {
            links.back()->send(query);
        }
    };
    return out;
}

dispatch::agent_hooks agent_role::core_hooks()
{
    dispatch::agent_hooks out;
    out.send = [this](const node_id& entry, const dispatch::agent_answer& answer) {
        net::link* link = link_to(entry);
        if (link == nullptr) {
            return false;
        }
        std::visit([&](const auto& msg) { link->send(msg); }, answer);
        return true;
    };
    out.call = [this](const dispatch::backend_call& what) { call(what); };
    out.cancel_call = [this](attempt_id attempt, wire::run_outcome why) {
        if (const auto it = calls_.find(attempt); it != calls_.end()) {
            it->second->cancel(why);
        }
    };
    out.bill = [this](const ledger::usage_fact& fact, std::function<void(bool)> done) {
        bill(fact, std::move(done));
    };
    out.changed = [this] { announce(); };
    out.span = [this](const telemetry::span& it) { env_.spans.write(it); };
    out.fresh = [this] { return control_.fresh(); };
    out.records = [this]() -> const records::records_state& { return control_.records().state(); };
    return out;
}

void agent_role::call(const dispatch::backend_call& what)
{
    const attempt_id attempt = what.attempt;
    engine_call_hooks hooks;
    hooks.head = [this, attempt](std::uint32_t status, std::string_view type) {
        core_.on_call_head(attempt, status, type);
    };
    hooks.bytes = [this, attempt](std::string_view bytes) { core_.on_call_bytes(attempt, bytes); };
    hooks.over = [this, attempt](const dispatch::call_result& result) {
        core_.on_call_over(attempt, result);
        // The call's own callback is still on the stack; let go of it from the loop.
        net::post(g_main_context_get_thread_default(), [this, attempt] { calls_.erase(attempt); });
    };
    calls_[attempt] = std::make_unique<engine_call>(session_.get(), what, std::move(hooks));
}

void agent_role::bill(const ledger::usage_fact& fact, std::function<void(bool)> done)
{
    const std::uint32_t groups = control_.ledger_groups();
    if (groups == 0) {
        done(false); // no control host was ever reached; the next sweep tries again
        return;
    }
    ledger::ledger_command command;
    command.usage = fact;
    ledger_.write(
        1 + ledger::group_of(fact.key, groups), std::move(command), bill_limit,
        [done = std::move(done)](const ledger::ledger_reply* reply) { done(reply != nullptr); });
}

net::link* agent_role::link_to(const node_id& entry) const
{
    const auto it = links_.find(entry);
    return it == links_.end() ? nullptr : it->second.back();
}

void agent_role::on_link_up(net::link& from)
{
    // An entry whose connection went silent comes back on a new one while the old still looks
    // alive here; answers go to the newest.
    links_[from.peer().node].push_back(&from);
}

void agent_role::on_link_down(net::link& from)
{
    const auto it = links_.find(from.peer().node);
    if (it == links_.end()) {
        return;
    }
    std::erase(it->second, &from);
    if (it->second.empty()) {
        const node_id entry = it->first;
        links_.erase(it);
        core_.on_entry_lost(entry);
    }
}

void agent_role::on_message(net::link& from, wire::message_type type, std::string_view body)
{
    const node_id& entry = from.peer().node;
    switch (type) {
    case wire::message_type::start:
        if (auto msg = wire::try_decode<wire::start>(body)) {
            core_.on_start(entry, std::move(*msg));
        }
        return;
    case wire::message_type::cancel:
        if (const auto msg = wire::try_decode<wire::cancel>(body)) {
            core_.on_cancel(entry, *msg);
        }
        return;
    case wire::message_type::resume:
        if (const auto msg = wire::try_decode<wire::resume>(body)) {
            core_.on_resume(entry, *msg);
        }
        return;
    case wire::message_type::settled:
        if (const auto msg = wire::try_decode<wire::settled>(body)) {
            core_.on_settled(*msg);
        }
        return;
    case wire::message_type::fresh_query:
        if (const auto msg = wire::try_decode<wire::fresh_query>(body)) {
            from.send(control_.records().answer(*msg, env_.now()));
        }
        return;
    case wire::message_type::fresh_reply:
        if (const auto msg = wire::try_decode<wire::fresh_reply>(body)) {
            control_.take_fresh(*msg);
        }
        return;
    default:
        return; // a message of a later release
    }
}

wire::agent_info agent_role::describe_self() const
{
    wire::agent_info out = core_.describe_self();
    out.address = config_.advertise.host;
    out.port = config_.advertise.port != 0 ? config_.advertise.port : listener_->port();
    out.failure_domain = env_.config.node.failure_domain;
    return out;
}

void agent_role::announce()
{
    const wire::announce msg{describe_self()};
    control_.broadcast(msg);
    for (const auto& [entry, links] : links_) {
        links.back()->send(msg);
    }
}

void agent_role::on_http(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->respond(200, "text/plain", {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = !core_.leaving() && control_.fresh();
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
    const auto text = [](const nlohmann::json& object, const char* key) {
        return object.contains(key) && object[key].is_string() ? object[key].get<std::string>()
                                                               : std::string{};
    };
    const bool slots_fine =
        !json.contains("slots") || (json["slots"].is_number_unsigned() && json["slots"] > 0);
    if (!json.is_object() || text(json, "name").empty() || text(json, "url").empty() ||
        !slots_fine) {
        exchange->respond(400, "text/plain", {},
                          "expected a JSON object with name, url, kind, offers and slots > 0\n");
        return;
    }
    dispatch::announcement what;
    what.url = text(json, "url");
    what.info.name = text(json, "name");
    what.info.kind =
        text(json, "kind") == "service" ? wire::backend_kind::service : wire::backend_kind::engine;
    what.info.slots = json.value("slots", 1U);
    what.info.checks_fence = json.contains("checks_fence") && json["checks_fence"] == true;
    what.info.leaving = json.contains("leaving") && json["leaving"] == true;
    if (json.contains("offers") && json["offers"].is_array()) {
        for (const auto& it : json["offers"]) {
            if (it.is_object()) {
                what.info.offers.push_back({text(it, "model"), text(it, "version")});
            }
        }
    }
    core_.on_announcement(std::move(what));
    exchange->respond(200, "text/plain", {}, "taken\n");
}

void agent_role::collect_metrics(telemetry::metrics& to)
{
    to.set("agent_runs", static_cast<double>(core_.runs()));
    to.set("records_index", static_cast<double>(control_.records().state().index()));
    control_.collect_metrics(to);
}

void agent_role::drain(std::function<void()> done)
{
    core_.leave();
    drained_ = std::move(done);
    drain_limit_timer_ = net::timer::once(config_.drain_limit, [this] { drained_(); });
    drain_timer_ = net::timer::every(drain_poll, [this] {
        // Answers wait here until their entries have settled them.
        if (core_.empty()) {
            drain_timer_.cancel();
            drained_();
        }
    });
}

} // namespace hickorypost

#include "gateway/gateway_role.h"

#include "gateway/backend_dial.h"
#include "hickorypost/base/packing.h"
#include "hickorypost/platform/caller_codec.h"
#include "hickorypost/platform/calls.h"
#include "hickorypost/platform/control_codec.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace hickorypost {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
/// Retry-After of a host that has no configuration yet.
constexpr millis no_config_retry{300};
/// Upper bound of the routes' timeouts. A session lasts from the end of its last request, of which
/// this process records the start.
constexpr millis longest_request{25'000};
constexpr millis tick_period{250};
constexpr std::uint64_t ticks_per_second = 4;
constexpr millis drain_poll{100};
/// The platform probes readiness once a second and stops sending new connections after two
/// failures; until then none may be refused.
constexpr millis drain_least{2600};
/// Idle connections are closed once no new ones arrive.
constexpr millis drain_close_idle{2200};
/// Requests in flight are cut off this long before the platform kills the process.
constexpr millis drain_margin{500};
/// Bodies of configurations; the platform bounds them lower.
constexpr std::uint64_t control_body_bytes = std::uint64_t{8} << 20U;

gateway::caller_limits control_limits()
{
    gateway::caller_limits out;
    out.body_bytes = control_body_bytes;
    out.idle_timeout = millis{60'000};
    return out;
}

} // namespace

gateway_role::gateway_role(runtime& env)
    : env_{env}, config_{*env.config.gateway}, timers_{env.now},
      directory_{{}, env.config.node.failure_domain},
      balancer_{config_.decisions.balancer, env.config.node.failure_domain, env.random,
                [this](const std::string& backend, const gateway::remote_load& own) {
                    if (feed_) {
                        feed_->loads().own_changed(backend, own);
                    }
                }},
      rollouts_{env.random, config_.session + longest_request}, models_{config_.decisions.models},
      pool_{poller_, timers_, env.now, [this] { return control_->hosts(); }, {}},
      liveness_{{},
                pool_,
                timers_,
                env.now,
                platform::encode_liveness_probe,
                [this](const std::string& backend) { feed_->report_unresponsive(backend); }},
      suspects_{{},
                env.now,
                [this](const gateway::crash_fact& it) { feed_->share(it); },
                [this](std::string_view backend, std::size_t requests) {
                    journal_.crash_refuted(backend, requests);
                }},
      crashes_{{},
               timers_,
               env.now,
               [this](const gateway::attempt_target& to, std::function<void(bool)> done) {
                   auto log_and_call = [this, backend = to.backend,
                                        done = std::move(done)](bool refused) {
                       journal_.crash_checked(backend, refused);
                       done(refused);
                   };
                   return std::make_unique<backend_dial>(poller_, timers_, env_.now, to.address,
                                                         std::move(log_and_call));
               },
               [this](const gateway::attempt_target& it) { return end_expected(it); },
               [this](const gateway::crashed_attempt& it) {
                   suspects_.crashed(it.identity, it.backend, it.crashes_before);
                   journal_.crashed(it, suspects_.crashes(it.identity),
                                    suspects_.known_crashes(it.identity));
               }},
      limits_{{},
              env.now,
              [this] { return control_->hosts(); },
              [this](const gateway::limit_change& it) {
                  journal_.limit_changed(it);
                  feed_->share(it);
              },
              [this](const std::string& backend) {
                  env_.log->warn("backend server {} names a limit that cannot be read: ignored",
                                 backend);
              },
              [this] { permits_->schedule_permit_requests(); }},
      journal_{env, config_.log_requests_per_second},
      services_{directory_,
                balancer_,
                rollouts_,
                models_,
                windows_,
                pool_,
                liveness_,
                crashes_,
                suspects_,
                limits_,
                timers_,
                env.now,
                env.random,
                config_.decisions.exchange,
                {.window = config_.retry_window,
                 .ratio = config_.retry_ratio,
                 .slack = config_.retry_slack},
                [this] { return control_->hosts(); },
                platform::encode_request,
                platform::decode_answer,
                [this](const gateway::exchange_record& it) { journal_.finished(it); },
                [this](const gateway::exchange_record& it, std::string_view what,
                       std::string_view why) { journal_.decision(it, what, why); }}
{
}

gateway_role::~gateway_role() = default;

result<std::unique_ptr<gateway_role>> gateway_role::start(runtime& env)
{
    std::unique_ptr<gateway_role> out{new gateway_role{env}};
    BOOST_LEAF_CHECK(out->open());
    return out;
}

result<void> gateway_role::open()
{
    const bool has_disk = !config_.data.empty();
    mesh_hooks hooks;
    hooks.up = [this](const node_id& host) {
        control_->on_link_up(host);
        feed_->on_link_up(host);
    };
    hooks.down = [this](const node_id& host) {
        control_->on_link_down(host);
        feed_->on_link_down(host);
    };
    hooks.message = [this](const node_id& from, wire::message_type type, std::string_view body) {
        if (!control_->on_message(from, type, body) && !feed_->on_message(from, type, body) &&
            !permits_->on_message(from, type, body)) {
            env_.log->warn("message of unknown type {} from host {}", static_cast<unsigned>(type),
                           from);
        }
    };
    BOOST_LEAF_ASSIGN(mesh_, peer_mesh::open(env_, config_.internal, has_disk, std::move(hooks)));
    control_hooks for_control;
    for_control.changed = [this](const gateway::site_state& state) { take_state(state); };
    for_control.synced = [this] { release_callers(); };
    control_ = std::make_unique<control_plane>(env_, *mesh_, std::move(for_control));
    feed_hooks for_feed;
    for_feed.gone = [this](const std::string& backend) {
        pool_.forget(backend);
        balancer_.forget(backend);
        limits_.forget(backend);
    };
    for_feed.superseded = [this](const std::string& backend) {
        pool_.lost(backend);
        balancer_.forget(backend);
        limits_.forget(backend);
    };
    for_feed.reaches_leader = [this](const node_id& host) {
        return control_->reaches_leader(host);
    };
    for_feed.pins = [this](const std::vector<std::uint64_t>& sessions) {
        return rollouts_.pin(sessions, env_.now());
    };
    for_feed.pinned = [this] { return rollouts_.pinned_sessions(env_.now()); };
    for_feed.limit_changed = [this](const gateway::limit_change& it) {
        journal_.limit_changed(it);
    };
    feed_ = std::make_unique<backend_feed>(env_, *mesh_, directory_, suspects_, limits_, balancer_,
                                           has_disk, std::move(for_feed));
    permits_ =
        std::make_unique<limit_feed>(env_, *mesh_, limits_, [this] { return control_->leader(); });
    calls_ = std::make_unique<control_calls>(
        env_, *control_, *feed_, directory_, suspects_, [this](const std::string& service) {
            return !table_ || table_->find_service(service) != nullptr;
        });

    const auto without_exchange = [](const auto& body) {
        return [body](incoming_request it) -> std::unique_ptr<gateway::exchange> {
            body(std::move(it));
            return nullptr;
        };
    };
    BOOST_LEAF_ASSIGN(
        control_server_,
        serve(config_.control, {control_limits, without_exchange([this](incoming_request it) {
                                    calls_->handle(std::move(it));
                                })}));
    BOOST_LEAF_ASSIGN(
        ready_server_,
        serve(config_.ready,
              {control_limits, without_exchange([this](const auto& it) { handle_ready(it); })}));
    BOOST_LEAF_ASSIGN(
        callers_server_,
        serve(config_.callers,
              {[this] { return table_ ? table_->config().limits : gateway::caller_limits{}; },
               [this](incoming_request it) { return handle_caller(std::move(it)); },
               [this] { return can_serve(); }, config_.decisions.start_hold}));
    if (config_.metrics.port != 0) {
        BOOST_LEAF_ASSIGN(
            metrics_server_,
            serve(config_.metrics, {control_limits, without_exchange([this](const auto& it) {
                                        handle_metrics(it);
                                    })}));
    }
    env_.metrics.on_collect([this](telemetry::metrics& to) { collect_metrics(to); });
    mesh_->dial_seeds(config_.seeds);
    control_->start();
    feed_->start();
    tick_timer_ = net::timer::every(tick_period, [this] { tick(); });
    env_.log->info("gateway started: data folder {}, {} seeds, first start {}",
                   has_disk ? config_.data : "none", config_.seeds.size(), config_.first_start);
    return {};
}

result<std::unique_ptr<caller_server>> gateway_role::serve(const net::peer_address& at,
                                                           caller_server::options how)
{
    const std::string text = at.host + ":" + std::to_string(at.port);
    const auto where = net::endpoint::parse(text);
    how.lost = [this](const connection_loss& loss) { journal_.lost(loss); };
    auto out =
        where ? caller_server::open(poller_, timers_, env_.now, *where, std::move(how)) : nullptr;
    if (!out) {
        return leaf::new_error(
            net::listen_error{text, where ? std::strerror(errno) : "not an IPv4 address"});
    }
    return out;
}

bool gateway_role::can_serve() const
{
    return table_ != nullptr && control_->synced();
}

bool gateway_role::ready() const
{
    return can_serve() && !draining_;
}

void gateway_role::handle_ready(const incoming_request& request) const
{
    const auto call = platform::decode_call(request.head.method, request.head.target);
    const bool good = call.kind == platform::call_kind::ready && ready();
    http1::response_head head;
    head.status = call.kind != platform::call_kind::ready ? status_not_found
                  : good                                  ? status_ok
                                                          : status_unavailable;
    request.answer->respond(std::move(head), {});
}

void gateway_role::handle_metrics(const incoming_request& request)
{
    http1::response_head head;
    head.status = status_ok;
    head.fields.add("Content-Type", "text/plain; version=0.0.4");
    request.answer->respond(std::move(head), env_.metrics.text());
}

std::unique_ptr<gateway::exchange> gateway_role::reject(const incoming_request& request,
                                                        const gateway::caller_request& decoded,
                                                        unsigned status, std::string_view why)
{
    journal_.rejected(decoded, status, why, table_ ? table_->config().version : 0);
    const auto wait = status == status_unavailable ? std::optional{no_config_retry} : std::nullopt;
    request.answer->respond(gateway::own_answer(status, wait), {});
    return nullptr;
}

std::unique_ptr<gateway::exchange> gateway_role::handle_caller(incoming_request request)
{
    auto decoded = platform::decode_request(std::move(request.head), std::move(request.body));
    decoded.arrived = request.arrived;
    if (draining_ && !callers_server_->accepts()) {
        // It could be cut off when this process exits. Another host can run it to its end.
        return reject(request, decoded, status_unavailable, "shutting down");
    }
    if (!can_serve()) {
        return reject(request, decoded, status_unavailable, "no configuration yet");
    }
    const auto* const route = table_->find_route(decoded.host, decoded.target);
    if (route == nullptr) {
        return reject(request, decoded, status_not_found, "no route");
    }
    const gateway::account_spec* account = nullptr;
    if (table_->config().has_accounts && route->needs_key) {
        account = table_->find_account(decoded.key);
        if (account == nullptr) {
            return reject(request, decoded, status_unauthorized, "unknown key");
        }
    }
    return std::make_unique<gateway::exchange>(services_, *request.answer, std::move(decoded),
                                               table_, *route, account);
}

void gateway_role::take_state(const gateway::site_state& state)
{
    rollouts_.set_versions(state.versions);
    rollouts_.follow(state.rollouts, env_.now());
    feed_->spread_pins(rollouts_.take_pinned(env_.now()));
    if (state.config_packed.empty() ||
        (table_ && state.config_version <= table_->config().version)) {
        return;
    }
    const bool good = value_or_handle<platform::body_error>(
        [&]() -> result<bool> {
            const auto text = unpack(state.config_packed);
            if (!text) {
                return leaf::new_error(platform::body_error{{}, "damaged packing"});
            }
            BOOST_LEAF_AUTO(config, platform::decode_config(*text));
            table_ = std::make_shared<const gateway::route_table>(std::move(config));
            return true;
        },
        [&](const platform::body_error& error) {
            env_.log->error("accepted configuration {} cannot be read: {}", state.config_version,
                            platform::describe(error));
            return false;
        });
    if (good) {
        env_.log->info("configuration {} in force: {} routes, {} accounts, revision {}",
                       state.config_version, table_->config().routes.size(),
                       table_->config().accounts.size(), state.revision);
    }
}

bool gateway_role::end_expected(const gateway::attempt_target& target) const
{
    const auto* const it = directory_.find(target.backend);
    if (it == nullptr || it->record.state != gateway::backend_state::ready) {
        return true;
    }
    const auto& rollouts = control_->state().rollouts;
    const auto found = rollouts.find(target.service);
    return found != rollouts.end() && found->second.phase == gateway::rollout_phase::completed &&
           found->second.target != it->record.version;
}

void gateway_role::name_incumbents()
{
    if (!table_ || !control_->leads()) {
        return;
    }
    for (const auto& it : table_->config().services) {
        auto version = rollouts_.find_incumbent(it.name, directory_.usable(it.name, env_.now()));
        if (version.empty()) {
            continue;
        }
        env_.log->info("incumbent of {}: {}", it.name, version);
        gateway::control_command command;
        command.kind = gateway::control_kind::set_incumbent;
        command.incumbent = {it.name, std::move(version)};
        control_->commit(command, [](control_plane::order_status, const gateway::site_state*) {});
    }
}

void gateway_role::tick()
{
    name_incumbents();
    feed_->spread_pins(rollouts_.take_pinned(env_.now()));
    control_->take_versions(rollouts_.take_report());
    release_callers();
    if (ready() != was_ready_) {
        was_ready_ = ready();
        env_.log->info("ready: {}", was_ready_);
    }
    if (++turn_ % ticks_per_second == 0) {
        journal_.tick();
        limits_.expire();
    }
    env_.log->flush();
}

void gateway_role::release_callers()
{
    if (!could_serve_ && can_serve()) {
        could_serve_ = true;
        callers_server_->release_held();
    }
}

void gateway_role::reload(const settings& config)
{
    if (config.gateway) {
        mesh_->dial_seeds(config.gateway->seeds);
        env_.log->info("settings taken over: {} seeds", config.gateway->seeds.size());
    }
}

void gateway_role::drain(std::function<void()> done)
{
    draining_ = true;
    drain_began_ = env_.now();
    callers_server_->begin_drain();
    control_->hand_over();
    drain_timer_ =
        net::timer::every(drain_poll, [this, done = std::move(done)] { drain_step(done); });
}

void gateway_role::drain_step(const std::function<void()>& done)
{
    const auto since = env_.now() - drain_began_;
    if (since >= drain_close_idle) {
        callers_server_->close_idle();
    }
    if (since >= drain_least && callers_server_->accepts()) {
        callers_server_->stop_accepting();
        env_.log->info("no new callers; {} requests in flight", callers_server_->in_flight());
    }
    const bool callers_left = since >= drain_least && callers_server_->connections() == 0;
    const std::size_t owing = control_server_->owing();
    if (callers_left && owing > 0 && !std::exchange(finishing_control_, true)) {
        env_.log->info("no callers left; finishing {} answers on the control port", owing);
    }
    if ((callers_left && owing == 0) || since >= config_.grace - drain_margin) {
        env_.log->info("drained: {} requests ended early, {} control calls cut off",
                       callers_server_->in_flight(), owing);
        callers_server_->finish_requests();
        drain_timer_.cancel();
        env_.log->flush();
        done();
    }
}

void gateway_role::collect_metrics(telemetry::metrics& to) const
{
    to.set("config_version", table_ ? static_cast<double>(table_->config().version) : 0);
    to.set("ready", ready() ? 1 : 0);
    to.set("backends_known", static_cast<double>(directory_.size()));
    to.set("backends_silent", static_cast<double>(directory_.silent()));
    to.set("backends_limited", static_cast<double>(limits_.all().size()));
    const auto suspects = suspects_.suspects();
    to.set("request_suspects", static_cast<double>(suspects.size()));
    to.set("requests_refused_as_crashing",
           static_cast<double>(std::count_if(suspects.begin(), suspects.end(),
                                             [](const auto& it) { return it.refused; })));
    to.set("backend_connections{state=\"idle\"}", static_cast<double>(pool_.idle()));
    to.set("backend_connections{state=\"busy\"}", static_cast<double>(pool_.busy()));
    to.set("backend_connections_opened", static_cast<double>(pool_.opened()));
    to.set("caller_connections", static_cast<double>(callers_server_->connections()));
    to.set("requests_in_flight", static_cast<double>(callers_server_->in_flight()));
    to.set("control_unsent_bytes", static_cast<double>(control_server_->unsent_bytes()));
    to.set("hosts", static_cast<double>(control_->hosts()));
    to.set("log_lines_dropped", static_cast<double>(telemetry::dropped_log_lines()));
    to.set("site_revision", static_cast<double>(control_->state().revision));
    if (const auto* group = control_->group(); group != nullptr) {
        to.set("control_log_term", static_cast<double>(group->core().term()));
        to.set("control_log_commit_index", static_cast<double>(group->core().commit_index()));
        to.set("control_log_leads", group->core().role() == replog::replica_role::leader ? 1 : 0);
    }
}

} // namespace hickorypost

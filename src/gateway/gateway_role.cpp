#include "gateway/gateway_role.h"

#include "gateway/backend_dial.h"
#include "hickorypost/base/packing.h"
#include "hickorypost/base/process_memory.h"
#include "hickorypost/platform/caller_codec.h"
#include "hickorypost/platform/calls.h"
#include "hickorypost/platform/control_codec.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/resource.h>
#include <utility>

namespace hickorypost {

namespace {

constexpr std::string_view callers_name = "callers";
constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
/// `Retry-After` of a 503 response while the host cannot serve.
constexpr millis unavailable_retry_after{300};
/// Upper bound of the routes' timeouts. Added to the session lifetime, which counts from the end of
/// the last request, because this process records only the start of a request.
constexpr millis max_request_duration{25'000};
constexpr millis tick_period{250};
constexpr std::uint64_t ticks_per_second = 4;
constexpr std::uint64_t ticks_per_traffic_summary = 10 * ticks_per_second;
/// A main loop iteration of at least this length is logged.
constexpr millis long_iteration{250};
constexpr millis drain_check_period{100};
/// Time from the start of a drain for which new connections are accepted. The platform probes
/// readiness once a second and stops sending new connections after two failed probes.
constexpr millis min_drain_time{2600};
/// Time from the start of a drain after which idle connections are closed. By then the platform
/// sends no new connections.
constexpr millis idle_close_delay{2200};
/// Requests in flight are ended this long before the platform kills the process.
constexpr millis kill_margin{500};
/// Maximum size of a request body on the control port, such as a configuration. The platform's own
/// limit is lower.
constexpr std::uint64_t max_control_body_bytes = std::uint64_t{8} << 20U;
/// Maximum size of a request body on the readiness and metrics ports, whose requests need none.
constexpr std::uint64_t max_probe_body_bytes = std::uint64_t{4} << 10U;
/// Connections to the readiness or metrics port. The platform's probes need one or two.
constexpr std::size_t max_probe_connections = 64;
/// Of the connections that callers may have open, this part may be open to the control port. A
/// backend server needs one at most.
constexpr std::size_t control_connection_divisor = 4;

/// Descriptors that the process may have; 0: no limit.
std::size_t max_descriptors()
{
    rlimit out{};
    const bool known = getrlimit(RLIMIT_NOFILE, &out) == 0 && out.rlim_cur != RLIM_INFINITY;
    return known ? static_cast<std::size_t>(out.rlim_cur) : 0;
}

gateway::memory_plan plan_memory(const gateway_settings& config)
{
    const std::size_t memory =
        config.memory_bytes > 0 ? config.memory_bytes : machine_memory_bytes();
    return gateway::plan_memory(memory, max_descriptors(), max_control_body_bytes);
}

/// Limits of the connections to the control port.
gateway::caller_limits control_limits()
{
    gateway::caller_limits out;
    out.body_bytes = max_control_body_bytes;
    out.idle_timeout = millis{60'000};
    return out;
}

gateway::caller_limits probe_limits()
{
    gateway::caller_limits out = control_limits();
    out.body_bytes = max_probe_body_bytes;
    return out;
}

} // namespace

gateway_role::gateway_role(runtime& env)
    : env_{env}, config_{*env.config.gateway}, memory_plan_{plan_memory(config_)},
      request_buffers_{std::make_shared<gateway::buffer_budget>(memory_plan_.requests)},
      answer_buffers_{std::make_shared<gateway::buffer_budget>(memory_plan_.answers)},
      control_buffers_{std::make_shared<gateway::buffer_budget>(memory_plan_.control)},
      raised_buffers_{std::make_shared<gateway::buffer_budget>(0)},
      poller_{[this](std::int64_t took) { on_iteration(micros{took}); }}, timers_{poller_, env.now},
      directory_{{}, env.config.node.failure_domain},
      balancer_{config_.decisions.balancer, env.config.node.failure_domain, env.random,
                [this](const std::string& backend, const gateway::remote_load& own) {
                    if (backend_feed_) {
                        backend_feed_->loads().own_changed(backend, own);
                    }
                    admission_.load_changed();
                }},
      shares_{config_.decisions.shares}, rollouts_{env.random,
                                                   config_.session + max_request_duration},
      model_choice_{config_.decisions.models},
      pool_{poller_,
            timers_,
            env.now,
            [this](const std::string& backend) { return connection_use(backend); },
            [this](const std::string& backend, std::size_t open) {
                backend_feed_->loads().own_connections_changed(backend, open);
            },
            [this](const std::string& backend) { return !backoffs_.is_backing_off(backend); },
            {.receive_buffer = memory_plan_.backend_receive_buffer,
             .answer_buffers = answer_buffers_,
             .raised_buffers = raised_buffers_}},
      liveness_{
          {},
          pool_,
          timers_,
          env.now,
          platform::encode_liveness_probe,
          [this](const std::string& backend) { backend_feed_->report_probe_failure(backend); },
          [this](const std::string& backend, const http1::response_head& head) {
              if (const auto answer = platform::decode_answer(head); !answer.misdirected) {
                  on_backend_answer(backend, answer, {});
              }
          }},
      crash_ledger_{
          {},
          env.now,
          [this](const gateway::crash_fact& fact) { backend_feed_->broadcast_crash_fact(fact); },
          [this](std::string_view backend, std::size_t requests) {
              journal_.crash_refuted(backend, requests);
          },
          [this](const gateway::request_identity& suspect) {
              journal_.suspect_refused(suspect, crash_ledger_.crashes(suspect),
                                       crash_ledger_.known_crashes(suspect));
              // Later, as this is called while the ends of attempts are handled.
              timers_.add(env_.now(), [this] { callers_server_->suspects_changed(); });
          }},
      crash_watch_{
          {},
          timers_,
          env.now,
          [this](const gateway::attempt_target& target, std::function<void(bool)> done) {
              auto log_and_call = [this, backend = target.backend,
                                   done = std::move(done)](bool refused) {
                  journal_.crash_checked(backend, refused);
                  done(refused);
              };
              return std::make_unique<backend_dial>(poller_, timers_, env_.now, target.address,
                                                    std::move(log_and_call));
          },
          [this](const gateway::attempt_target& target) { return shutdown_expected(target); },
          [this](const gateway::crashed_attempt& attempt) {
              crash_ledger_.crashed(attempt);
              journal_.crashed(attempt, crash_ledger_.crashes(attempt.identity),
                               crash_ledger_.known_crashes(attempt.identity));
          }},
      limits_{{},
              env.now,
              [this] { return control_->host_count(); },
              [this](const gateway::limit_change& change) {
                  journal_.limit_changed(change);
                  backend_feed_->broadcast_limit(change);
              },
              [this](const std::string& backend) {
                  env_.log->warn("backend server {} announces an invalid rate limit: ignored",
                                 backend);
              },
              [this] { limit_feed_->schedule_permit_requests(); }},
      backoffs_{{},
                env.now,
                env.random,
                [this](const gateway::backoff_request& it) { journal_.backoff_requested(it); }},
      admission_{env.now, env.random,
                 [this](instant due, std::function<void()> callback) {
                     timers_.add(due, std::move(callback));
                 }},
      journal_{env, config_.log_requests_per_second},
      memory_guard_{memory_plan_.memory,
                    {request_buffers_, {answer_buffers_, control_buffers_}, raised_buffers_},
                    {resident_memory_bytes, release_freed_memory,
                     [this] { return unaccounted_kernel_bytes(); }}},
      services_{directory_,
                balancer_,
                rollouts_,
                model_choice_,
                retry_windows_,
                pool_,
                liveness_,
                crash_watch_,
                crash_ledger_,
                limits_,
                backoffs_,
                admission_,
                timers_,
                env.now,
                env.random,
                config_.decisions.exchange,
                {.window = config_.retry_window,
                 .ratio = config_.retry_ratio,
                 .slack = config_.retry_slack},
                [this] { return control_->host_count(); },
                platform::encode_request,
                platform::decode_answer,
                [this](const gateway::exchange_record& record) { journal_.finished(record); },
                [this](const std::string& backend, const gateway::backend_answer& answer,
                       std::string_view request) { on_backend_answer(backend, answer, request); },
                [this](const gateway::exchange_record& record, std::string_view decision,
                       std::string_view reason) {
                    journal_.decision(record, decision, reason);
                    if (decision == "rejected_overload") {
                        ++overload_rejections_[std::string{reason}];
                    }
                },
                [this](const std::string& account, double work_ms) {
                    shares_.record(account, work_ms, env_.now());
                },
                answer_buffers_}
{
    shares_.set_weights(config_.account_weights);
    balancer_.on_remote_load = [this] { admission_.load_changed(); };
    admission_.is_over_share = [this](const std::string& account) {
        return shares_.is_over_share(account, engine_capacity_ms_per_s_, env_.now());
    };
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
        backend_feed_->on_link_up(host);
    };
    hooks.down = [this](const node_id& host) {
        control_->on_link_down(host);
        backend_feed_->on_link_down(host);
    };
    hooks.message = [this](const node_id& from, wire::message_type type, std::string_view body) {
        if (!control_->on_message(from, type, body) &&
            !backend_feed_->on_message(from, type, body) &&
            !limit_feed_->on_message(from, type, body)) {
            env_.log->warn("message of unknown type {} from host {}", static_cast<unsigned>(type),
                           from);
        }
    };
    BOOST_LEAF_ASSIGN(mesh_, peer_mesh::open(env_, config_.internal, has_disk, std::move(hooks)));
    control_hooks plane_hooks;
    plane_hooks.state_changed = [this](const gateway::site_state& state) {
        on_state_changed(state);
    };
    plane_hooks.synced = [this] { release_held_requests(); };
    control_ = std::make_unique<control_plane>(env_, *mesh_, std::move(plane_hooks));
    backend_feed_hooks feed_hooks;
    feed_hooks.backend_gone = [this](const std::string& backend) {
        pool_.close_idle(backend);
        balancer_.forget(backend);
        limits_.forget(backend);
        backoffs_.forget(backend);
    };
    feed_hooks.backend_superseded = [this](const std::string& backend) {
        pool_.close_all(backend);
        balancer_.forget(backend);
        limits_.forget(backend);
        backoffs_.forget(backend);
    };
    feed_hooks.reaches_leader = [this](const node_id& host) {
        return control_->reaches_leader(host);
    };
    feed_hooks.takes_account_usage = [this](const node_id& host) {
        return control_->takes_account_usage(host);
    };
    feed_hooks.host_count = [this] { return control_->host_count(); };
    feed_hooks.pin_sessions = [this](const std::vector<std::uint64_t>& sessions) {
        return rollouts_.pin(sessions, env_.now());
    };
    feed_hooks.pinned_sessions = [this] { return rollouts_.pinned_sessions(env_.now()); };
    feed_hooks.limit_changed = [this](const gateway::limit_change& change) {
        journal_.limit_changed(change);
    };
    backend_feed_ =
        std::make_unique<backend_feed>(env_, *mesh_, directory_, crash_ledger_, limits_, balancer_,
                                       shares_, has_disk, std::move(feed_hooks));
    limit_feed_ = std::make_unique<limit_feed>(env_, *mesh_, limits_,
                                               [this] { return control_->permit_coordinator(); });
    load_report_ = std::make_unique<load_report>(
        env_.config.node.name, env_.now, directory_, balancer_, [this](const std::string& service) {
            const auto* const spec = route_table_ ? route_table_->find_service(service) : nullptr;
            return spec != nullptr && spec->engine.has_value();
        });
    load_report_->set_sources(sources_of_load());
    control_calls_ = std::make_unique<control_calls>(
        env_, *control_, *backend_feed_, directory_, crash_ledger_, *load_report_,
        [this](const std::string& service) {
            return !route_table_ || route_table_->find_service(service) != nullptr;
        });

    const auto without_exchange = [](const auto& body) {
        return [body](incoming_request request) -> std::unique_ptr<gateway::exchange> {
            body(std::move(request));
            return nullptr;
        };
    };
    BOOST_LEAF_ASSIGN(
        control_server_,
        serve("control", config_.control,
              {.limits = control_limits,
               .handle = without_exchange([this](incoming_request request) {
                   control_calls_->handle(std::move(request));
               }),
               .max_connections = memory_plan_.connections / control_connection_divisor}));
    BOOST_LEAF_ASSIGN(
        ready_server_,
        serve("ready", config_.ready,
              {.limits = probe_limits,
               .handle = without_exchange([this](const auto& request) { handle_ready(request); }),
               .max_connections = max_probe_connections}));
    BOOST_LEAF_ASSIGN(
        callers_server_,
        serve(callers_name, config_.callers,
              {[this] {
                   return route_table_ ? route_table_->config().limits : gateway::caller_limits{};
               },
               [this](incoming_request request) { return handle_caller(std::move(request)); },
               [this] { return can_serve(); }, config_.decisions.start_hold, nullptr,
               gateway::accept_queue_settings{}, memory_plan_.connections,
               [this](std::string_view reason) { journal_.connection_refused(reason); },
               [this] { journal_.listen_paused(); }}));
    if (config_.metrics.port != 0) {
        // The host serves requests without them.
        metrics_server_ = value_or_handle<net::listen_error>(
            [&] {
                return serve("metrics", config_.metrics,
                             {.limits = probe_limits,
                              .handle = without_exchange(
                                  [this](const auto& request) { handle_metrics(request); }),
                              .max_connections = max_probe_connections});
            },
            [this](const net::listen_error& error) {
                env_.log->error("no metrics: cannot listen on {}: {}", error.address, error.detail);
                return std::unique_ptr<caller_server>{};
            });
    }
    env_.metrics.on_collect([this](telemetry::metrics& metrics) { collect_metrics(metrics); });
    mesh_->dial(config_.seeds);
    control_->start();
    backend_feed_->start();
    tick_timer_ = net::timer::every(tick_period, [this] { tick(); });
    env_.log->info("gateway started: data directory {}, {} seeds, first start {}",
                   has_disk ? config_.data : "none", config_.seeds.size(), config_.first_start);
    return {};
}

result<std::unique_ptr<caller_server>> gateway_role::serve(std::string_view name,
                                                           const net::peer_address& address,
                                                           caller_server::options options)
{
    const std::string text = address.host + ":" + std::to_string(address.port);
    const auto endpoint = net::endpoint::parse(text);
    if (!endpoint) {
        return leaf::new_error(net::listen_error{text, "not an IPv4 address"});
    }
    options.request_buffers = name == callers_name ? request_buffers_ : control_buffers_;
    options.answer_buffers = answer_buffers_;
    options.raised_buffers = raised_buffers_;
    options.socket_buffers = {.receive = memory_plan_.receive_buffer,
                              .send = memory_plan_.send_buffer};
    options.request_rejected = [this](http1::request_head head) {
        env_.metrics.count("requests_rejected_for_memory_total");
        journal_.rejected(platform::decode_request(std::move(head), {}), status_unavailable,
                          "memory for requests is used up",
                          route_table_ ? route_table_->config().version : 0);
    };
    options.connection_lost = [this](const connection_loss& loss) { journal_.lost(loss); };
    options.listen_failed = [this, name, text](int error) {
        env_.log->warn("{} listener waits for {}: {}", name, text, std::strerror(error));
    };
    options.listen_recovered = [this, name](millis waited) {
        env_.log->info("{} listener open after {} ms", name, waited.count());
    };
    options.accept_failed = [this, name](int error) {
        env_.metrics.count("accept_failures_total");
        env_.log->warn("{} listener can't accept connections: {}; they wait", name,
                       std::strerror(error));
    };
    auto out = caller_server::open(poller_, timers_, env_.now, *endpoint, std::move(options));
    if (!out) {
        return leaf::new_error(net::make_listen_error(text, errno));
    }
    return out;
}

std::size_t gateway_role::unaccounted_kernel_bytes() const
{
    // The kernel doubles the size of a buffer for its own overhead.
    return 2 * memory_plan_.receive_buffer * callers_server_->connections();
}

std::size_t gateway_role::listeners_waiting() const
{
    std::size_t out = mesh_->waits_for_address() ? 1 : 0;
    for (const auto* const it : {callers_server_.get(), ready_server_.get(), control_server_.get(),
                                 metrics_server_.get()}) {
        out += it != nullptr && it->waits_for_address() ? 1 : 0;
    }
    return out;
}

bool gateway_role::can_serve() const
{
    return route_table_ != nullptr && control_->synced();
}

bool gateway_role::ready() const
{
    return can_serve() && callers_server_->has_listened() && !draining_;
}

void gateway_role::handle_ready(const incoming_request& request) const
{
    const auto call = platform::decode_call(request.head.method, request.head.target);
    const bool ok = call.kind == platform::call_kind::ready && ready();
    http1::response_head head;
    head.status = call.kind != platform::call_kind::ready ? status_not_found
                  : ok                                    ? status_ok
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
                                                        unsigned status, std::string_view reason)
{
    journal_.rejected(decoded, status, reason, route_table_ ? route_table_->config().version : 0);
    const auto retry_after =
        status == status_unavailable ? std::optional{unavailable_retry_after} : std::nullopt;
    request.answer->respond(gateway::gateway_response(status, retry_after), {});
    return nullptr;
}

std::unique_ptr<gateway::exchange> gateway_role::handle_caller(incoming_request request)
{
    auto decoded = platform::decode_request(std::move(request.head), std::move(request.body));
    decoded.arrived = request.arrived;
    if (draining_ && !callers_server_->accepts()) {
        // This process may exit before the request is complete; the caller can retry on another
        // host.
        return reject(request, decoded, status_unavailable, "shutting down");
    }
    if (!can_serve()) {
        return reject(request, decoded, status_unavailable, "no configuration yet");
    }
    const auto* const route = route_table_->find_route(decoded.host, decoded.target);
    if (route == nullptr) {
        return reject(request, decoded, status_not_found, "no route");
    }
    const gateway::account_spec* account = nullptr;
    if (route_table_->config().has_accounts && route->needs_key) {
        account = route_table_->find_account(decoded.key);
        if (account == nullptr) {
            return reject(request, decoded, status_unauthorized, "unknown key");
        }
    }
    return std::make_unique<gateway::exchange>(services_, *request.answer, std::move(decoded),
                                               route_table_, *route, account);
}

void gateway_role::on_state_changed(const gateway::site_state& state)
{
    rollouts_.set_versions(state.versions);
    rollouts_.follow(state.rollouts, env_.now());
    backend_feed_->broadcast_pinned_sessions(rollouts_.take_pinned(env_.now()));
    apply_config(state);
    apply_evacuations(state);
}

void gateway_role::apply_evacuations(const gateway::site_state& state)
{
    const auto& domains = state.evacuated_domains;
    for (const auto& domain : domains) {
        if (!directory_.is_evacuated(domain)) {
            env_.log->info("failure domain {} is evacuated, revision {}", domain, state.revision);
        }
    }
    for (const auto& domain : directory_.set_evacuated(domains)) {
        env_.log->info("failure domain {} is no longer evacuated, revision {}", domain,
                       state.revision);
        if (!route_table_) {
            continue;
        }
        // Its backend servers may have become cold without traffic, and not have said so yet.
        for (const auto& service : route_table_->config().services) {
            directory_.assume_cold(domain, service.name, env_.now() + service.cold_start);
        }
    }
}

void gateway_role::apply_config(const gateway::site_state& state)
{
    if (state.config_packed.empty() ||
        (route_table_ && state.config_version <= route_table_->config().version)) {
        return;
    }
    const bool decoded = value_or_handle<platform::body_error>(
        [&]() -> result<bool> {
            const auto text = unpack(state.config_packed);
            if (!text) {
                return leaf::new_error(platform::body_error{{}, "corrupt compressed data"});
            }
            BOOST_LEAF_AUTO(config, platform::decode_config(*text));
            route_table_ = std::make_shared<const gateway::route_table>(std::move(config));
            return true;
        },
        [&](const platform::body_error& error) {
            env_.log->error("cannot decode accepted configuration {}: {}", state.config_version,
                            platform::describe(error));
            return false;
        });
    if (decoded) {
        env_.log->info("configuration {} in force: {} routes, {} accounts, revision {}",
                       state.config_version, route_table_->config().routes.size(),
                       route_table_->config().accounts.size(), state.revision);
    }
}

void gateway_role::on_backend_answer(const std::string& backend,
                                     const gateway::backend_answer& answer,
                                     std::string_view request)
{
    backoffs_.saw(backend, answer, request);
    if (answer.leaving) {
        backend_feed_->report_leaving(backend);
    }
}

bool gateway_role::shutdown_expected(const gateway::attempt_target& target) const
{
    const auto* const entry = directory_.find(target.backend);
    if (entry == nullptr || entry->record.state != gateway::backend_state::ready) {
        return true;
    }
    const auto& rollouts = control_->state().rollouts;
    const auto found = rollouts.find(target.service);
    return found != rollouts.end() && found->second.phase == gateway::rollout_phase::completed &&
           found->second.target != entry->record.version;
}

gateway::connection_use gateway_role::connection_use(const std::string& backend) const
{
    return {0, balancer_.remote_connections(backend), backend_feed_->loads().is_complete(),
            control_->host_count()};
}

void gateway_role::propose_incumbents()
{
    if (!route_table_ || !control_->leads()) {
        return;
    }
    for (const auto& service : route_table_->config().services) {
        auto version =
            rollouts_.find_incumbent(service.name, directory_.usable(service.name, env_.now()));
        if (version.empty()) {
            continue;
        }
        env_.log->info("service {}: proposing incumbent version {}", service.name, version);
        gateway::control_command command;
        command.kind = gateway::control_kind::set_incumbent;
        command.incumbent = {service.name, std::move(version)};
        control_->commit(command, [](control_plane::order_status, const gateway::site_state*) {});
    }
}

void gateway_role::tick()
{
    propose_incumbents();
    backend_feed_->broadcast_pinned_sessions(rollouts_.take_pinned(env_.now()));
    control_->report_versions(rollouts_.take_report());
    release_held_requests();
    pool_.close_idle_where_scarce();
    for (auto* const it : {callers_server_.get(), control_server_.get(), metrics_server_.get()}) {
        if (it != nullptr) {
            it->lower_send_buffers();
        }
    }
    memory_guard_.update();
    if (ready() != was_ready_) {
        was_ready_ = ready();
        env_.log->info("ready: {}", was_ready_);
    }
    if (++tick_count_ % ticks_per_second == 0) {
        journal_.tick();
        limits_.expire();
        backoffs_.expire();
        engine_capacity_ms_per_s_ = load_report_->engine_capacity_ms_per_s();
    }
    if (tick_count_ % ticks_per_traffic_summary == 0) {
        if (const auto bytes = mesh_->traffic().take_summary(); !bytes.empty()) {
            env_.log->info("bytes sent/received between hosts: {}", bytes);
        }
    }
    env_.log->flush();
}

void gateway_role::on_iteration(micros duration)
{
    const std::uint64_t opened = callers_server_ ? callers_server_->opened() : 0;
    const std::uint64_t refused = callers_server_ ? callers_server_->refused() : 0;
    if (duration >= long_iteration) {
        journal_.long_iteration(duration, opened - opened_before_, refused - refused_before_);
    }
    opened_before_ = opened;
    refused_before_ = refused;
}

void gateway_role::release_held_requests()
{
    if (!could_serve_ && can_serve()) {
        could_serve_ = true;
        callers_server_->release_held();
    }
}

void gateway_role::reload(const settings& config)
{
    if (config.gateway) {
        mesh_->dial(config.gateway->seeds);
        shares_.set_weights(config.gateway->account_weights);
        services_.settings.admission = config.gateway->decisions.exchange.admission;
        env_.log->info("settings reloaded: {} seeds, {} account weights, admission {}",
                       config.gateway->seeds.size(), config.gateway->account_weights.size(),
                       services_.settings.admission ? "on" : "off");
    }
}

load_sources gateway_role::sources_of_load() const
{
    return {.waiting =
                [this] {
                    std::vector<gateway::load_view::waiting_row> out;
                    for (const auto& [service, n] : admission_.waiting()) {
                        out.push_back({service, "all", n});
                    }
                    return out;
                },
            .rejections =
                [this] {
                    std::vector<gateway::load_view::rejection_row> out;
                    for (const auto& [reason, n] : overload_rejections_) {
                        out.push_back({reason, n});
                    }
                    return out;
                },
            .accounts =
                [this] {
                    std::vector<gateway::load_view::account_row> out;
                    for (const auto& it : shares_.rows(env_.now(), engine_capacity_ms_per_s_)) {
                        out.push_back({it.account, it.ms_per_s, it.share_ms_per_s, it.over_share});
                    }
                    return out;
                }};
}

void gateway_role::drain(std::function<void()> done)
{
    draining_ = true;
    drain_began_ = env_.now();
    services_.drain_end = drain_began_ + config_.grace - kill_margin;
    callers_server_->begin_drain();
    if (callers_server_->has_listened()) {
        min_drain_time_ = min_drain_time;
    } else {
        callers_server_->stop_accepting(); // it has never been ready
    }
    control_->hand_over();
    drain_timer_ =
        net::timer::every(drain_check_period, [this, done = std::move(done)] { drain_step(done); });
}

void gateway_role::drain_step(const std::function<void()>& done)
{
    const auto elapsed = env_.now() - drain_began_;
    if (elapsed >= idle_close_delay) {
        callers_server_->close_idle();
    }
    if (elapsed >= min_drain_time_ && callers_server_->accepts()) {
        callers_server_->stop_accepting();
        env_.log->info("no longer accepting callers; {} requests in flight",
                       callers_server_->in_flight());
    }
    const bool callers_left = elapsed >= min_drain_time_ && callers_server_->connections() == 0;
    const std::size_t pending = control_server_->pending_answers();
    if (callers_left && pending > 0 && !std::exchange(awaiting_control_responses_, true)) {
        env_.log->info("no callers left; finishing {} responses on the control port", pending);
    }
    if ((callers_left && pending == 0) || env_.now() >= *services_.drain_end) {
        env_.log->info("drained: {} requests ended early, {} control calls aborted",
                       callers_server_->in_flight(), pending);
        callers_server_->finish_requests();
        drain_timer_.cancel();
        env_.log->flush();
        done();
    }
}

} // namespace hickorypost

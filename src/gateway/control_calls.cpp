#include "gateway/control_calls.h"

#include "hickorypost/base/packing.h"
#include "hickorypost/platform/calls.h"
#include "hickorypost/platform/control_codec.h"
#include "hickorypost/telemetry/event_line.h"

namespace hickorypost {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_not_allowed = 405;
constexpr unsigned status_unavailable = 503;
/// Less than the second that an operator waits for a response.
constexpr millis confirm_limit{900};
/// Attempts to commit an order while others change the same object.
constexpr unsigned max_commit_attempts = 8;
/// Minimum time between two log lines about refused records.
constexpr millis refusal_log_period{1000};

void respond_json(gateway::caller_port& caller, unsigned status, std::string body)
{
    http1::response_head head;
    head.status = status;
    head.fields.add("Content-Type", "application/json");
    caller.respond(std::move(head), std::move(body));
}

void respond_error(gateway::caller_port& caller, unsigned status, std::string_view reason)
{
    respond_json(caller, status, platform::encode_error(reason));
}

void respond_config(gateway::caller_port& caller, const gateway::site_state& state)
{
    if (auto text = unpack(state.config_packed)) {
        respond_json(caller, status_ok, std::move(*text));
    } else {
        respond_error(caller, status_unavailable, "cannot decompress the stored configuration");
    }
}

/// Runs `body`, which decodes the request. On a decoding error, logs `subject` and the faulty field
/// and responds with status 400.
template <class Body>
void decode_or_refuse(runtime& env, const incoming_request& request, std::string_view subject,
                      const Body& body)
{
    value_or_handle<platform::body_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(body());
            return true;
        },
        [&](const platform::body_error& error) {
            const std::string reason = platform::describe(error);
            env.log->warn("{} refused: {}", subject, reason);
            respond_error(*request.answer, status_bad_request, reason);
            return false;
        });
}

} // namespace

void control_calls::handle(incoming_request request)
{
    const auto call = platform::decode_call(request.head.method, request.head.target);
    switch (call.kind) {
    case platform::call_kind::heartbeat:
        return heartbeat(call.argument, request);
    case platform::call_kind::leave:
        return leave(call.argument, request);
    case platform::call_kind::put_config:
        return put_config(std::move(request));
    case platform::call_kind::get_config:
        return get_config(request);
    case platform::call_kind::begin_rollout:
        return begin_rollout(request);
    case platform::call_kind::get_rollout:
        return get_rollout(call.argument, request);
    case platform::call_kind::list_evacuations:
        return list_evacuations(request);
    case platform::call_kind::begin_evacuation:
        return change_evacuation(gateway::control_kind::begin_evacuation, call.argument, request);
    case platform::call_kind::end_evacuation:
        return change_evacuation(gateway::control_kind::end_evacuation, call.argument, request);
    case platform::call_kind::list_suspects:
        return list_suspects(request);
    case platform::call_kind::clear_suspect:
        return clear_suspect(call.argument, request);
    case platform::call_kind::get_load:
        return respond_json(*request.answer, status_ok, platform::encode_load(load_.view()));
    case platform::call_kind::ready:
    case platform::call_kind::unknown:
        break;
    }
    respond_error(*request.answer, call.known_path ? status_not_allowed : status_not_found,
                  call.known_path ? "method not allowed" : "unknown path");
}

void control_calls::heartbeat(const std::string& name, const incoming_request& request)
{
    const auto decode = [&]() -> result<bool> {
        BOOST_LEAF_AUTO(record, platform::decode_heartbeat(name, request.body));
        if (const auto fault = find_record_fault(record)) {
            refuse_record(name, request, *fault);
            return false;
        }
        // Acknowledging a heartbeat promises that it reaches all connected hosts. Without contact
        // to the leader this host cannot keep that promise; the backend server then tries another
        // host. Just after the start, heartbeats of ready backend servers are accepted without
        // contact: the hosts exchange their records once their links are up, and every ready
        // backend server is needed at once.
        const bool ready_at_start =
            record.state == gateway::backend_state::ready && control_.starting();
        if (!control_.connected() && !ready_at_start) {
            respond_error(*request.answer, status_unavailable, "no contact with the control log");
            return false;
        }
        feed_.on_heartbeat(record);
        respond_json(*request.answer, status_ok, "{}");
        return true;
    };
    value_or_handle<platform::body_error>(decode, [&](const platform::body_error& error) {
        refuse_record(name, request, platform::describe(error));
        return false;
    });
}

std::optional<std::string>
control_calls::find_record_fault(const gateway::backend_record& record) const
{
    if (!net::endpoint::parse(record.address)) {
        return "address: expected an IPv4 address and a port";
    }
    const auto* const known = directory_.find_named(record.name);
    // A service that is no longer configured may still have backend servers.
    const bool same_service = known != nullptr && known->record.service == record.service;
    if (!same_service && !is_known_service_(record.service)) {
        return "service: not in the configuration";
    }
    if (known == nullptr) {
        return std::nullopt;
    }
    if (known->record.born != 0 && record.born == 0) {
        return "start time: missing, but earlier records of this backend server have it";
    }
    if (known->record.born == record.born && known->record.service != record.service) {
        return "service: differs from the one that this backend server started with";
    }
    return std::nullopt;
}

void control_calls::refuse_record(const std::string& name, const incoming_request& request,
                                  std::string_view reason)
{
    env_.metrics.count("backend_records_refused");
    // Rate-limited: a faulty sender may send many records a second. The metric counts all of them.
    if (const instant now = env_.now(); now >= refusal_logged_ + refusal_log_period) {
        refusal_logged_ = now;
        env_.log->warn("record of backend server {} refused: {}", name, reason);
    }
    respond_error(*request.answer, status_bad_request, reason);
}

void control_calls::leave(const std::string& name, const incoming_request& request)
{
    if (!control_.connected()) {
        respond_error(*request.answer, status_unavailable, "no contact with the control log");
        return;
    }
    const auto decode = [&]() -> result<bool> {
        BOOST_LEAF_AUTO(record, platform::decode_leaving(name, request.body));
        feed_.on_heartbeat(record);
        respond_json(*request.answer, status_ok, "{}");
        return true;
    };
    value_or_handle<platform::body_error>(decode, [&](const platform::body_error& error) {
        refuse_record(name, request, platform::describe(error));
        return false;
    });
}

void control_calls::commit(operator_order order)
{
    const auto command = order.command;
    control_.commit(command, [this, order = std::move(order)](control_plane::order_status status,
                                                              const gateway::site_state*) mutable {
        if (status == control_plane::order_status::superseded) {
            if (order.attempts < max_commit_attempts) {
                env_.log->info("{}: another order came first, trying again", order.subject);
                commit_if_awaited(std::move(order));
                return;
            }
            constexpr std::string_view reason = "other orders came first each time";
            env_.log->info("{} not carried out: {}", order.subject, reason);
            respond_error(*order.caller, status_unavailable, reason);
            return;
        }
        const bool acknowledged = status == control_plane::order_status::done;
        env_.log->info("{} {}", order.subject,
                       acknowledged ? "acknowledged"
                                    : "not acknowledged by a leader: it may still take effect");
        if (acknowledged) {
            respond_json(*order.caller, status_ok, "{}");
        } else {
            respond_error(*order.caller, status_unavailable,
                          "no leader has acknowledged the command");
        }
    });
}

void control_calls::commit_if_awaited(operator_order order)
{
    ++order.attempts;
    // The order may have waited in the socket while this host was suspended, and the operator may
    // have sent it, and later ones, to other hosts since. An operator that still waits after the
    // newest state has been read has sent none that this state lacks, and the control log drops the
    // command if another order for the same object comes before it.
    control_.read_newest(
        [this, order = std::move(order)](control_plane::order_status status,
                                         const gateway::site_state* state) mutable {
            if (status != control_plane::order_status::done || state == nullptr) {
                constexpr std::string_view reason = "no leader has confirmed the newest state";
                env_.log->info("{} not carried out: {}", order.subject, reason);
                respond_error(*order.caller, status_unavailable, reason);
                return;
            }
            if (control_.replicas_check_known_revision()) {
                order.command.known_revision = state->revision;
            }
            const auto caller = order.caller;
            caller->confirm_waiting(
                confirm_limit, [this, order = std::move(order)](bool waits) mutable {
                    if (waits) {
                        commit(std::move(order));
                        return;
                    }
                    env_.log->info("{} dropped: the operator has left", order.subject);
                    respond_error(*order.caller, status_unavailable,
                                  "the connection does not acknowledge what is sent");
                });
        });
}

void control_calls::put_config(incoming_request request)
{
    decode_or_refuse(env_, request, "configuration", [&]() -> result<void> {
        BOOST_LEAF_AUTO(config, platform::decode_config(request.body));
        if (const auto fault = gateway::find_fault(config)) {
            const std::string reason = fault->place + ": " + fault->what;
            env_.log->warn("configuration {} refused: {}", config.version, reason);
            respond_error(*request.answer, status_bad_request, reason);
            return {};
        }
        gateway::control_command command;
        command.kind = gateway::control_kind::put_config;
        command.config_version = config.version;
        command.config_packed = pack(request.body);
        commit({std::move(command), "configuration " + std::to_string(config.version),
                request.answer});
        return {};
    });
}

void control_calls::get_config(const incoming_request& request)
{
    control_.read_newest([this, caller = request.answer](control_plane::order_status status,
                                                         const gateway::site_state* state) {
        if (status != control_plane::order_status::done || state == nullptr) {
            constexpr std::string_view reason = "no leader has confirmed the newest configuration";
            env_.log->warn("cannot read the configuration: {}", reason);
            respond_error(*caller, status_unavailable, reason);
        } else if (state->config_version == 0 && state->config_packed.empty()) {
            respond_error(*caller, status_not_found, "no configuration yet");
        } else {
            env_.log->info("configuration {} read", state->config_version);
            respond_config(*caller, *state);
        }
    });
}

void control_calls::begin_rollout(const incoming_request& request)
{
    decode_or_refuse(env_, request, "roll-out", [&]() -> result<void> {
        BOOST_LEAF_AUTO(order, platform::decode_rollout(request.body));
        gateway::control_command command;
        command.kind = gateway::control_kind::begin_rollout;
        command.rollout = order;
        commit_if_awaited({std::move(command),
                           "roll-out of " + order.service + " to " + order.target, request.answer});
        return {};
    });
}

void control_calls::get_rollout(const std::string& service, const incoming_request& request)
{
    control_.read_newest([caller = request.answer, service](control_plane::order_status status,
                                                            const gateway::site_state* state) {
        if (status != control_plane::order_status::done || state == nullptr) {
            respond_error(*caller, status_unavailable, "no leader has confirmed the newest state");
            return;
        }
        const auto rollout = state->rollouts.find(service);
        if (rollout == state->rollouts.end()) {
            respond_error(*caller, status_not_found, "no roll-out of this service");
        } else {
            respond_json(*caller, status_ok, platform::encode_rollout(rollout->second));
        }
    });
}

void control_calls::list_evacuations(const incoming_request& request)
{
    control_.read_newest([caller = request.answer](control_plane::order_status status,
                                                   const gateway::site_state* state) {
        if (status != control_plane::order_status::done || state == nullptr) {
            respond_error(*caller, status_unavailable, "no leader has confirmed the newest state");
        } else {
            respond_json(*caller, status_ok,
                         platform::encode_evacuations(state->evacuated_domains));
        }
    });
}

void control_calls::change_evacuation(gateway::control_kind kind, const std::string& encoded_domain,
                                      const incoming_request& request)
{
    const std::string_view change =
        kind == gateway::control_kind::begin_evacuation ? "begin" : "end";
    decode_or_refuse(env_, request, "evacuation", [&]() -> result<void> {
        BOOST_LEAF_AUTO(domain, platform::decode_domain(encoded_domain));
        if (!control_.replicas_support_evacuations()) {
            constexpr std::string_view reason =
                "a host with a disk runs a release without evacuations";
            env_.log->warn("evacuation of {} refused: {}", domain, reason);
            respond_error(*request.answer, status_unavailable, reason);
            return {};
        }
        if (!directory_.has_backends_in(domain)) {
            env_.log->warn("evacuation of {}: no known backend server is in this failure domain",
                           domain);
        }
        gateway::control_command command;
        command.kind = kind;
        command.failure_domain = domain;
        commit_if_awaited({std::move(command),
                           "evacuation of " + domain + ": " + std::string{change}, request.answer});
        return {};
    });
}

void control_calls::list_suspects(const incoming_request& request)
{
    respond_json(*request.answer, status_ok, platform::encode_suspects(crash_ledger_.suspects()));
}

void control_calls::clear_suspect(const std::string& identity, const incoming_request& request)
{
    const auto parsed = gateway::parse_identity(identity);
    if (!parsed) {
        respond_error(*request.answer, status_bad_request, "identity: expected 32 hex digits");
        return;
    }
    // As for roll-outs: an order that is read late must not clear a suspect that was found since.
    request.answer->confirm_waiting(confirm_limit, [this, parsed, identity,
                                                    caller = request.answer](bool waits) {
        if (!waits) {
            env_.log->info("order to clear suspect {} dropped: the operator has left", identity);
            respond_error(*caller, status_unavailable,
                          "the connection does not acknowledge what is sent");
        } else if (!crash_ledger_.clear(*parsed)) {
            respond_error(*caller, status_not_found, "no such suspect");
        } else {
            env_.log->info("suspect {} cleared by an operator", identity);
            respond_json(*caller, status_ok, "{}");
        }
    });
}

} // namespace hickorypost

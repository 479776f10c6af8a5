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
/// One log line about refused records in this time.
constexpr millis refusal_log_period{1000};

void answer(gateway::caller_port& to, unsigned status, std::string body)
{
    http1::response_head head;
    head.status = status;
    head.fields.add("Content-Type", "application/json");
    to.respond(std::move(head), std::move(body));
}

void refuse(gateway::caller_port& to, unsigned status, std::string_view why)
{
    answer(to, status, platform::encode_error(why));
}

void answer_config(gateway::caller_port& to, const gateway::site_state& state)
{
    if (auto text = unpack(state.config_packed)) {
        answer(to, status_ok, std::move(*text));
    } else {
        refuse(to, status_unavailable, "the stored configuration cannot be unpacked");
    }
}

/// Runs `body`, which decodes; what it cannot read is refused with the place named.
template <class Body>
void decode_or_refuse(runtime& env, const incoming_request& request, std::string_view what,
                      const Body& body)
{
    value_or_handle<platform::body_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(body());
            return true;
        },
        [&](const platform::body_error& error) {
            const std::string why = platform::describe(error);
            env.log->warn("{} refused: {}", what, why);
            refuse(*request.answer, status_bad_request, why);
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
    case platform::call_kind::list_suspects:
        return list_suspects(request);
    case platform::call_kind::clear_suspect:
        return clear_suspect(call.argument, request);
    case platform::call_kind::ready:
    case platform::call_kind::unknown:
        break;
    }
    refuse(*request.answer, call.known_path ? status_not_allowed : status_not_found,
           call.known_path ? "method not allowed" : "no such call");
}

void control_calls::heartbeat(const std::string& name, const incoming_request& request)
{
    const auto taken = [&]() -> result<bool> {
        BOOST_LEAF_AUTO(record, platform::decode_heartbeat(name, request.body));
        if (const auto fault = fault_of(record)) {
            refuse_record(name, request, *fault);
            return false;
        }
        // An acknowledgement promises that all hosts in touch will obey. Cut off from the core this
        // host cannot tell them; the backend server then asks another one.
        // Just after a start that promise is made only for backend servers that stay: the hosts
        // exchange what they know once their links are up, and all are wanted at once.
        const bool stays = record.state == gateway::backend_state::ready && control_.starting();
        if (!control_.connected() && !stays) {
            refuse(*request.answer, status_unavailable, "no contact with the control log");
            return false;
        }
        feed_.on_heartbeat(record);
        answer(*request.answer, status_ok, "{}");
        return true;
    };
    value_or_handle<platform::body_error>(taken, [&](const platform::body_error& error) {
        refuse_record(name, request, platform::describe(error));
        return false;
    });
}

std::optional<std::string> control_calls::fault_of(const gateway::backend_record& record) const
{
    if (!net::endpoint::parse(record.address)) {
        return "address: expected an IPv4 address and a port";
    }
    const auto* const known = directory_.find_named(record.name);
    if (known == nullptr) {
        return may_serve_(record.service)
                   ? std::nullopt
                   : std::optional<std::string>{"service: not in the configuration"};
    }
    if (known->record.born != 0 && record.born == 0) {
        return "start time: missing, though this backend server has told it before";
    }
    if (known->record.born == record.born && known->record.service != record.service) {
        return "service: another one than this backend server began with";
    }
    return std::nullopt;
}

void control_calls::refuse_record(const std::string& name, const incoming_request& request,
                                  std::string_view why)
{
    env_.metrics.count("backend_records_refused");
    // A broken writer may send many a second; the metric counts them all.
    if (const instant now = env_.now(); now >= refusal_logged_ + refusal_log_period) {
        refusal_logged_ = now;
        env_.log->warn("record of backend server {} refused: {}", name, why);
    }
    refuse(*request.answer, status_bad_request, why);
}

void control_calls::leave(const std::string& name, const incoming_request& request)
{
    if (!control_.connected()) {
        refuse(*request.answer, status_unavailable, "no contact with the control log");
        return;
    }
    const auto taken = [&]() -> result<bool> {
        BOOST_LEAF_AUTO(record, platform::decode_leaving(name, request.body));
        feed_.on_heartbeat(record);
        answer(*request.answer, status_ok, "{}");
        return true;
    };
    value_or_handle<platform::body_error>(taken, [&](const platform::body_error& error) {
        refuse_record(name, request, platform::describe(error));
        return false;
    });
}

void control_calls::put_config(incoming_request request)
{
    decode_or_refuse(env_, request, "configuration", [&]() -> result<void> {
        BOOST_LEAF_AUTO(config, platform::decode_config(request.body));
        if (const auto fault = gateway::find_fault(config)) {
            const std::string why = fault->place + ": " + fault->what;
            env_.log->warn("configuration {} refused: {}", config.version, why);
            refuse(*request.answer, status_bad_request, why);
            return {};
        }
        gateway::control_command command;
        command.kind = gateway::control_kind::put_config;
        command.config_version = config.version;
        command.config_packed = pack(request.body);
        control_.commit(command, [this, to = request.answer,
                                  version = config.version](control_plane::order_status status,
                                                            const gateway::site_state*) {
            const bool good = status == control_plane::order_status::done;
            env_.log->info("configuration {} {}", version,
                           good ? "acknowledged" : "has no clear fate: no leader answered");
            if (good) {
                answer(*to, status_ok, "{}");
            } else {
                refuse(*to, status_unavailable, "no quorum just now");
            }
        });
        return {};
    });
}

void control_calls::get_config(const incoming_request& request)
{
    control_.read_newest([this, to = request.answer](control_plane::order_status status,
                                                     const gateway::site_state* state) {
        if (status != control_plane::order_status::done || state == nullptr) {
            constexpr std::string_view why =
                "the newest configuration cannot be confirmed just now";
            env_.log->warn("reading of the configuration refused: {}", why);
            refuse(*to, status_unavailable, why);
        } else if (state->config_version == 0 && state->config_packed.empty()) {
            refuse(*to, status_not_found, "no configuration yet");
        } else {
            env_.log->info("configuration {} read", state->config_version);
            answer_config(*to, *state);
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
        control_.commit(
            command, [this, to = request.answer, order](control_plane::order_status status,
                                                        const gateway::site_state*) {
                const bool good = status == control_plane::order_status::done;
                env_.log->info("roll-out of {} to {} {}", order.service, order.target,
                               good ? "acknowledged" : "has no clear fate: no leader answered");
                if (good) {
                    answer(*to, status_ok, "{}");
                } else {
                    refuse(*to, status_unavailable, "no quorum just now");
                }
            });
        return {};
    });
}

void control_calls::get_rollout(const std::string& service, const incoming_request& request)
{
    control_.read_newest([to = request.answer, service](control_plane::order_status status,
                                                        const gateway::site_state* state) {
        if (status != control_plane::order_status::done || state == nullptr) {
            refuse(*to, status_unavailable, "the newest state cannot be confirmed just now");
            return;
        }
        const auto it = state->rollouts.find(service);
        if (it == state->rollouts.end()) {
            refuse(*to, status_not_found, "no roll-out of this service");
        } else {
            answer(*to, status_ok, platform::encode_rollout(it->second));
        }
    });
}

void control_calls::list_suspects(const incoming_request& request)
{
    answer(*request.answer, status_ok, platform::encode_suspects(suspects_.suspects()));
}

void control_calls::clear_suspect(const std::string& identity, const incoming_request& request)
{
    const auto parsed = gateway::parse_identity(identity);
    if (!parsed) {
        refuse(*request.answer, status_bad_request, "identity: expected 32 hex digits");
        return;
    }
    if (!suspects_.clear(*parsed)) {
        refuse(*request.answer, status_not_found, "no such suspect");
        return;
    }
    env_.log->info("suspect {} cleared by an operator", identity);
    answer(*request.answer, status_ok, "{}");
}

} // namespace hickorypost

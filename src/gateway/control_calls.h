#pragma once

#include "gateway/backend_feed.h"
#include "gateway/caller_server.h"
#include "gateway/control_plane.h"
#include "gateway/load_report.h"

#include <functional>
#include <optional>
#include <string>

namespace hickorypost {

/// Handles the HTTP calls on the control port: configurations, roll-outs, evacuations, suspect
/// requests and load from operators, heartbeats and leave notices from backend servers.
class control_calls {
public:
    /// `is_known_service` returns whether the configuration in force contains the service; true if
    /// no configuration is in force yet.
    control_calls(runtime& env, control_plane& control, backend_feed& feed,
                  const gateway::backend_directory& directory, gateway::crash_ledger& crash_ledger,
                  const load_report& load,
                  std::function<bool(const std::string& service)> is_known_service)
        : env_{env}, control_{control}, feed_{feed}, directory_{directory},
          crash_ledger_{crash_ledger}, load_{load}, is_known_service_{std::move(is_known_service)}
    {
    }

    /// Responds to the request, at once or when the control log has replied.
    void handle(incoming_request request);

private:
    void heartbeat(const std::string& name, const incoming_request& request);
    void leave(const std::string& name, const incoming_request& request);
    /// Checks a decoded record against the configuration and the earlier records of the backend
    /// server. Returns a description of the fault, or nothing if the record is valid.
    [[nodiscard]] std::optional<std::string>
    find_record_fault(const gateway::backend_record& record) const;
    /// Counts and logs a refused record and responds with status 400.
    void refuse_record(const std::string& name, const incoming_request& request,
                       std::string_view reason);
    /// A command of an operator on its way to the control log.
    struct operator_order {
        gateway::control_command command;
        std::string subject; ///< for the log
        std::shared_ptr<gateway::caller_port> caller;
        unsigned attempts = 0; ///< by `commit_if_awaited`
    };
    /// Commits the command, then logs the outcome and responds.
    void commit(operator_order order);
    /// Commits a roll-out or an evacuation, unless the operator no longer waits for the response.
    void commit_if_awaited(operator_order order);
    void put_config(incoming_request request);
    void get_config(const incoming_request& request);
    void begin_rollout(const incoming_request& request);
    void get_rollout(const std::string& service, const incoming_request& request);
    void list_evacuations(const incoming_request& request);
    /// Begins or ends an evacuation, as `kind` says.
    void change_evacuation(gateway::control_kind kind, const std::string& encoded_domain,
                           const incoming_request& request);
    void list_suspects(const incoming_request& request);
    void clear_suspect(const std::string& identity, const incoming_request& request);

    runtime& env_;
    control_plane& control_;
    backend_feed& feed_;
    const gateway::backend_directory& directory_;
    gateway::crash_ledger& crash_ledger_;
    const load_report& load_;
    std::function<bool(const std::string& service)> is_known_service_;
    instant refusal_logged_; ///< time of the last log line about a refused record
};

} // namespace hickorypost

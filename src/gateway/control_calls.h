#pragma once

#include "gateway/backend_feed.h"
#include "gateway/caller_server.h"
#include "gateway/control_plane.h"

#include <functional>
#include <optional>
#include <string>

namespace hickorypost {

/// The calls of operators and backend servers: configurations, roll-outs, heartbeats.
class control_calls {
public:
    /// `may_serve`: whether the configuration in force names a service, or none is in force yet.
    control_calls(runtime& env, control_plane& control, backend_feed& feed,
                  const gateway::backend_directory& directory, gateway::crash_ledger& suspects,
                  std::function<bool(const std::string& service)> may_serve)
        : env_{env}, control_{control}, feed_{feed}, directory_{directory}, suspects_{suspects},
          may_serve_{std::move(may_serve)}
    {
    }

    void handle(incoming_request request);

private:
    void heartbeat(const std::string& name, const incoming_request& request);
    void leave(const std::string& name, const incoming_request& request);
    /// What is wrong with a record that could be read, as far as this process knows; nothing if it
    /// may be taken.
    [[nodiscard]] std::optional<std::string> fault_of(const gateway::backend_record& record) const;
    /// Refuses what a backend server, or somebody in its name, told.
    void refuse_record(const std::string& name, const incoming_request& request,
                       std::string_view why);
    void put_config(incoming_request request);
    void get_config(const incoming_request& request);
    void begin_rollout(const incoming_request& request);
    void get_rollout(const std::string& service, const incoming_request& request);
    void list_suspects(const incoming_request& request);
    void clear_suspect(const std::string& identity, const incoming_request& request);

    runtime& env_;
    control_plane& control_;
    backend_feed& feed_;
    const gateway::backend_directory& directory_;
    gateway::crash_ledger& suspects_;
    std::function<bool(const std::string& service)> may_serve_;
    instant refusal_logged_; ///< the last line about a refused record
};

} // namespace hickorypost

#pragma once

#include "gateway/backend_feed.h"
#include "gateway/caller_server.h"
#include "gateway/control_plane.h"

namespace hickorypost {

/// The calls of operators and backend servers: configurations, roll-outs, heartbeats.
class control_calls {
public:
    control_calls(runtime& env, control_plane& control, backend_feed& feed)
        : env_{env}, control_{control}, feed_{feed}
    {
    }

    void handle(incoming_request request);

private:
    void heartbeat(const std::string& id, const incoming_request& request);
    void leave(const std::string& id, const incoming_request& request);
    void put_config(incoming_request request);
    void get_config(const incoming_request& request);
    void begin_rollout(const incoming_request& request);
    void get_rollout(const std::string& service, const incoming_request& request);

    runtime& env_;
    control_plane& control_;
    backend_feed& feed_;
};

} // namespace hickorypost

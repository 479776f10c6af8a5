#pragma once
/// A site's configuration, as submitted by operators. A configuration with a higher version
/// replaces the whole of the one before.

#include "hickorypost/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::gateway {

/// Whether a request may be retried. Set by the route, regardless of the HTTP method.
enum class request_kind : std::uint8_t {
    safe,     ///< may run more than once
    unsafe,   ///< runs at most once
    streaming ///< a stream of events; runs at most once unless its route is resumable
};

struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

struct route_spec {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::unsafe;
    millis timeout{0};                ///< longest time that a caller waits
    millis target_latency{0};         ///< until the answer, or a stream's first event
    std::optional<millis> target_gap; ///< longest interval between a stream's events
    int priority = 0;                 ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;   ///< for one request, including the first
    bool needs_key = true;            ///< false: callers are not identified
    bool prefix_cached = false;       ///< engines cache prefixes of the requests' prompts
    bool resumable = false;           ///< a broken stream may resume on another backend server
    std::vector<std::string> models;  ///< smallest first; empty if callers name the model
    std::vector<weighted_service> services; ///< at least one
};

struct model_spec {
    std::string name;
    double cost = 0; ///< per 1,000 generated tokens; a prompt token costs a quarter
};

/// Properties of the model engines behind a service.
struct engine_spec {
    std::uint32_t slots = 1;     ///< requests that one engine runs concurrently
    double memory_tokens = 0;    ///< size of one engine's KV cache, in tokens
    double tokens_per_event = 1; ///< tokens in one event of a stream
    std::vector<model_spec> models;
};

struct service_spec {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< of one backend server, from all callers together
    std::optional<engine_spec> engine;
    millis cold_start{0}; ///< warm-up time of a backend server
    /// Requests per second, from all hosts together, that a backend server accepts while it warms
    /// up; 0: no limit.
    double cold_per_second = 0;
};

struct account_spec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the route's
};

/// Limits on requests and connections of callers.
struct caller_limits {
    std::uint32_t head_bytes = 16U << 10U;
    std::uint64_t body_bytes = std::uint64_t{4} << 20U;
    millis head_timeout{3000};
    millis idle_timeout{15'000};
};

struct site_config {
    std::uint64_t version = 0;
    std::vector<route_spec> routes;
    std::vector<service_spec> services;
    std::vector<account_spec> accounts;
    bool has_accounts = false; ///< callers are identified by their keys
    caller_limits limits;
};

/// An inconsistency within a configuration.
struct config_fault {
    std::string place; ///< path of the member, for example `routes[3].services`
    std::string what;  ///< what is wrong with the member
};

/// Returns the first inconsistency, or nothing if the configuration is valid.
std::optional<config_fault> find_fault(const site_config& config);

} // namespace hickorypost::gateway

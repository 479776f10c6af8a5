#pragma once
/// The operators' whole configuration of a site, as typed values. A higher version replaces a lower
/// one as a whole.

#include "hickorypost/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::gateway {

/// What may be repeated. Follows from the route, never from the method.
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
    millis timeout{0};                      ///< longest time that a caller is kept waiting
    millis target_latency{0};               ///< to the answer, or to a stream's first event
    std::optional<millis> target_gap;       ///< longest pause between a stream's events
    int priority = 0;                       ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;         ///< backend servers that one request may be sent to
    bool needs_key = true;                  ///< false: callers are not identified
    bool prefix_cached = false;             ///< requests carry prompts whose parts engines keep
    bool resumable = false;                 ///< a broken stream may go on at another backend server
    std::vector<std::string> models;        ///< smallest first; empty: callers name the model
    std::vector<weighted_service> services; ///< at least one
};

struct model_spec {
    std::string name;
    double cost = 0; ///< per 1,000 tokens generated; tokens read count a quarter
};

/// What a service's model engines are like.
struct engine_spec {
    std::uint32_t slots = 1;
    double memory_tokens = 0;
    double tokens_per_event = 1;
    std::vector<model_spec> models;
};

struct service_spec {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< of one backend server, from all callers together
    std::optional<engine_spec> engine;
};

struct account_spec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
};

/// Bounds on what callers send.
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
    bool has_accounts = false; ///< callers are identified by keys
    caller_limits limits;
};

/// Where a configuration contradicts itself, and how.
struct config_fault {
    std::string place; ///< as in `routes[3].services`
    std::string what;
};

/// The first contradiction within a configuration; nothing if it may take effect.
std::optional<config_fault> find_fault(const site_config& config);

} // namespace hickorypost::gateway

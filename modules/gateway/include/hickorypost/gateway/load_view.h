#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hickorypost::gateway {

/// Load and decisions under load as one host sees them, for operators.
struct load_view {
    /// An incarnation of a backend server whose service has model engines.
    struct engine_row {
        std::string backend;
        std::string service;
        double requests = 0;   ///< in flight, of all hosts
        double prefill_ms = 0; ///< pending prefill of all hosts, on a reference engine
        double slowdown = 1;   ///< against the median engine
        double tokens = 0;     ///< KV cache of the requests in flight
    };
    /// Requests that wait at this host for an engine.
    struct waiting_row {
        std::string service;
        std::string route;
        std::uint64_t requests = 0;
    };
    /// Requests that this host has rejected since its start because of load.
    struct rejection_row {
        std::string reason;
        std::uint64_t requests = 0;
    };
    /// Usage of a client account, summed over all hosts that report it.
    struct account_row {
        std::string account;
        double ms_per_s = 0;       ///< work in milliseconds of a reference engine per second
        double share_ms_per_s = 0; ///< fair share of the capacity, in the same unit
        bool over_share = false;
    };

    std::string host;
    std::vector<engine_row> engines;
    std::vector<waiting_row> waiting;
    std::vector<rejection_row> rejections;
    std::vector<account_row> accounts;
};

} // namespace hickorypost::gateway

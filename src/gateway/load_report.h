#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/load_view.h"
#include "hickorypost/telemetry/metrics.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hickorypost {

/// Rows that admission control and account shares provide. An empty function provides none.
struct load_sources {
    std::function<std::vector<gateway::load_view::waiting_row>()> waiting;
    std::function<std::vector<gateway::load_view::rejection_row>()> rejections;
    std::function<std::vector<gateway::load_view::account_row>()> accounts;
};

/// Collects this host's load for operators and as metrics.
class load_report {
public:
    /// `has_engines` returns whether the configuration in force names engines for the service.
    load_report(std::string host, clock_fn now, const gateway::backend_directory& directory,
                const gateway::load_balancer& balancer,
                std::function<bool(const std::string& service)> has_engines)
        : host_{std::move(host)}, now_{std::move(now)}, directory_{directory}, balancer_{balancer},
          has_engines_{std::move(has_engines)}
    {
    }

    void set_sources(load_sources sources) { sources_ = std::move(sources); }
    [[nodiscard]] gateway::load_view view() const;
    /// Work that all engines finish in a second, in milliseconds on a reference engine.
    [[nodiscard]] double engine_capacity_ms_per_s() const;
    /// Sets the gauges `engine_slowdown` and `requests_waiting`.
    void set_gauges(telemetry::metrics& metrics);

private:
    [[nodiscard]] std::vector<gateway::load_view::engine_row> engines() const;

    std::string host_;
    clock_fn now_;
    const gateway::backend_directory& directory_;
    const gateway::load_balancer& balancer_;
    std::function<bool(const std::string& service)> has_engines_;
    load_sources sources_;
    std::set<std::string> gauged_services_; ///< services that have a gauge `requests_waiting`
};

} // namespace hickorypost

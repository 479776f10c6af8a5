#pragma once
/// What every role of one process shares.

#include "hickorypost/base/time.h"
#include "hickorypost/net/tls_identity.h"
#include "hickorypost/telemetry/log.h"
#include "hickorypost/telemetry/metrics.h"
#include "hickorypost/telemetry/span.h"
#include "settings.h"

#include <functional>
#include <memory>

namespace hickorypost {

/// Clocks, randomness, logs, metrics and spans, handed to the roles through their constructors.
struct runtime {
    const settings& config;
    incarnation life = 0; ///< of this process
    clock_fn now;
    wall_clock_fn wall;
    random_fn random;
    std::shared_ptr<spdlog::logger> log;
    telemetry::metrics& metrics;
    telemetry::span_exporter& spans;
    const net::tls_identity* tls = nullptr;
    /// Ends the process with a failure: a state from which only a restart recovers.
    std::function<void(std::string_view why)> fail;

    [[nodiscard]] wire::hello hello(wire::node_role role) const
    {
        return {.role = role,
                .node = config.node.name,
                .life = life,
                .failure_domain = config.node.failure_domain};
    }
};

/// A role of the process: entry, agent or control.
class role {
public:
    virtual ~role() = default;
    /// Begins a graceful shutdown; `done` is called once nothing is in flight or the limit is over.
    virtual void drain(std::function<void()> done) = 0;
    /// The settings file has changed; takes over what may change while the process runs.
    virtual void reload(const settings&) {}
};

} // namespace hickorypost

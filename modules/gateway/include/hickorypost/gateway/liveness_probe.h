#pragma once

#include "hickorypost/gateway/exchange_types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorypost::gateway {

struct probe_settings {
    /// Allows for one TCP retransmission.
    millis probe_timeout{280};
    /// A positive result is reused for this long, as many streams of one engine stall together.
    millis result_lifetime{300};
};

/// Probes backend servers whose responses have stalled. Performs no I/O itself.
///
/// A hung engine keeps its connections open and sends nothing, but streams of healthy engines pause
/// too, during prefill. A probe needs no slot of the engine and tells the two apart early enough to
/// resume a stream within its longest allowed pause.
class liveness_probe {
public:
    using result_fn = std::function<void(bool alive)>;
    /// Gives the probe as it is sent to that backend server.
    using write_fn = std::function<std::string(const attempt_target& to)>;
    /// Called for each backend server that failed its probe.
    using unresponsive_fn = std::function<void(const std::string& backend)>;

    liveness_probe(probe_settings settings, attempt_port& backends, scheduler& timers, clock_fn now,
                   write_fn write, unresponsive_fn unresponsive);
    ~liveness_probe();
    liveness_probe(const liveness_probe&) = delete;
    liveness_probe& operator=(const liveness_probe&) = delete;

    /// `result` is called later, never from within. Concurrent callers share a probe.
    std::uint64_t start(const attempt_target& to, result_fn result);
    /// A connection to it was refused: no process listens there.
    void saw_refusal(const std::string& backend) { unresponsive_(backend); }
    /// Its result is no longer wanted.
    void cancel(std::uint64_t which);

private:
    class probe;
    /// A subscriber, by the number that `start` returned.
    using subscriber = std::pair<std::uint64_t, result_fn>;

    void settle(const std::string& backend, bool alive);

    probe_settings settings_;
    attempt_port& backends_;
    scheduler& timers_;
    clock_fn now_;
    write_fn write_;
    unresponsive_fn unresponsive_;
    std::map<std::string, std::unique_ptr<probe>> open_; ///< by incarnation
    std::map<std::string, instant> answered_;            ///< time, by incarnation
    std::vector<subscriber> settling_;                   ///< those that are being notified
    std::uint64_t last_ = 0;
};

} // namespace hickorypost::gateway

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
    /// A positive result is reused for this long, as many streams of one engine stall at the same
    /// time.
    millis result_lifetime{300};
};

/// Probes backend servers whose answers have stalled. Performs no I/O itself.
///
/// A hung engine keeps its connections open and sends nothing, but streams of healthy engines pause
/// too, during prefill. A probe needs no slot of the engine and distinguishes the two cases early
/// enough to resume a stream within its longest allowed pause.
class liveness_probe {
public:
    using result_fn = std::function<void(bool alive)>;
    /// Returns the head of the probe request for a backend server.
    using write_fn = std::function<std::string(const attempt_target& to)>;
    /// Called for each backend server that failed its probe.
    using unresponsive_fn = std::function<void(const std::string& backend)>;
    /// Called with the head of each answer to a probe.
    using answered_fn =
        std::function<void(const std::string& backend, const http1::response_head& head)>;

    liveness_probe(probe_settings settings, attempt_port& backends, scheduler& timers, clock_fn now,
                   write_fn write_probe, unresponsive_fn on_unresponsive, answered_fn on_answered);
    ~liveness_probe();
    liveness_probe(const liveness_probe&) = delete;
    liveness_probe& operator=(const liveness_probe&) = delete;

    /// Probes a backend server, or joins a probe of it that is in flight. `result` is called later,
    /// never from within this call. Returns an id for `cancel`, which is never 0.
    std::uint64_t start(const attempt_target& to, result_fn result);
    /// Reports a backend server as unresponsive whose address refused a connection: no process
    /// listens there.
    void report_refused_connection(const std::string& backend) { on_unresponsive_(backend); }
    /// Cancels a call to `start`. Does nothing for 0 and for calls that have got their result.
    void cancel(std::uint64_t subscription);

private:
    class probe;
    /// The id that `start` returned, and whom to notify.
    using subscriber = std::pair<std::uint64_t, result_fn>;

    void finish_probe(const std::string& backend, bool alive);

    probe_settings settings_;
    attempt_port& backends_;
    scheduler& timers_;
    clock_fn now_;
    write_fn write_probe_;
    unresponsive_fn on_unresponsive_;
    answered_fn on_answered_;
    std::map<std::string, std::unique_ptr<probe>> probes_; ///< by incarnation
    std::map<std::string, instant> last_answer_at_;        ///< by incarnation
    std::vector<subscriber> notifying_;                    ///< to be notified by `finish_probe`
    std::uint64_t last_id_ = 0;
};

} // namespace hickorypost::gateway

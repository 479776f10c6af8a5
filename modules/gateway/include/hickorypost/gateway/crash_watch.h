#pragma once

#include "hickorypost/gateway/crashed_attempt.h"
#include "hickorypost/gateway/exchange_types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorypost::gateway {

/// A connection attempt. Destroying it cancels it.
class dial {
public:
    virtual ~dial() = default;
};

struct crash_watch_settings {
    /// Limit of a test connection; long enough for one TCP retransmission.
    millis dial_timeout{280};
    /// Time for which the end of an incarnation is remembered.
    millis ended_lifetime{10'000};
};

/// Finds out whether a lost connection means that the backend server's process has ended: a new
/// connection is refused then. Performs no I/O itself.
///
/// A backend server that has lost power, is unreachable or hangs does not refuse connections, and
/// one whose connection was reset by the network accepts them.
class crash_watch {
public:
    /// `ended`: the backend server has ended. False also if that is unknown.
    using result_fn = std::function<void(bool ended)>;
    /// Connects to a backend server. `done` is called once with whether the connection was refused,
    /// never from within this call, and not after the dial is destroyed.
    using dial_fn =
        std::function<std::unique_ptr<dial>(const attempt_target&, std::function<void(bool)> done)>;
    /// Whether the end of a backend server is planned: the server is draining, has left, or its
    /// version is retired.
    using expected_fn = std::function<bool(const attempt_target&)>;
    using crashed_fn = std::function<void(const crashed_attempt&)>;

    crash_watch(crash_watch_settings settings, scheduler& timers, clock_fn now, dial_fn connect,
                expected_fn expected, crashed_fn crashed);
    ~crash_watch();
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    /// Reports that the connection of an attempt in flight was lost. `result`, if set, is called at
    /// once or later, after a crash has been reported. Returns 0 if the result was known at once,
    /// else a number for `cancel`.
    std::uint64_t attempt_broke(const attempt_target& target, crashed_attempt attempt,
                                result_fn result);
    /// Drops the result callback of an attempt. A crash is still reported.
    void cancel(std::uint64_t number);

private:
    struct pending_attempt {
        std::uint64_t number = 0;
        crashed_attempt attempt;
        result_fn result;
    };
    struct crash_check {
        std::unique_ptr<dial> connection;
        std::uint64_t timer = 0;
        bool expected = false;
        std::vector<pending_attempt> attempts;
    };

    void start_check(const attempt_target& target, crash_check& it);
    void finish_check(const std::string& backend, bool refused);

    crash_watch_settings settings_;
    scheduler& timers_;
    clock_fn now_;
    dial_fn connect_;
    expected_fn expected_;
    crashed_fn crashed_;
    std::map<std::string, crash_check> checks_; ///< by incarnation
    /// When the end of an incarnation was detected, and whether the end was planned.
    std::map<std::string, std::pair<instant, bool>> known_ends_;
    std::vector<pending_attempt> notifying_; ///< attempts whose result callbacks are being called
    std::uint64_t last_number_ = 0;
};

} // namespace hickorypost::gateway

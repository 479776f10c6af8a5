#pragma once

#include "hickorypost/gateway/exchange_types.h"
#include "hickorypost/gateway/request_identity.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickorypost::gateway {

/// A request whose attempt was in flight on a backend server when that ended.
struct crashed_attempt {
    std::string backend; ///< incarnation
    std::string service;
    std::string request; ///< id of the caller's attempt
    request_identity identity;
    std::uint32_t crashes_before = 0; ///< of the identity, known when the attempt was sent
};

/// A connection attempt. Destroying it cancels it.
class dial {
public:
    virtual ~dial() = default;
};

struct crash_watch_settings {
    /// Allows for one TCP retransmission.
    millis dial_timeout{280};
    /// How long it is remembered that an incarnation has ended.
    millis ended_lifetime{10'000};
};

/// Tells backend servers that have ended from connections that were lost, by whether a new
/// connection is refused. Performs no I/O itself.
///
/// A server that has lost power, is cut off or hangs does not refuse connections; one that was
/// reset by the network accepts them.
class crash_watch {
public:
    using result_fn = std::function<void(bool ended)>;
    /// Connects to an address; `done` is called once and later, unless the dial is destroyed.
    using dial_fn =
        std::function<std::unique_ptr<dial>(const attempt_target&, std::function<void(bool)> done)>;
    /// Whether this backend server was to end: it drains, has left, or its version is retired.
    using expected_fn = std::function<bool(const attempt_target&)>;
    using crashed_fn = std::function<void(const crashed_attempt&)>;

    crash_watch(crash_watch_settings settings, scheduler& timers, clock_fn now, dial_fn connect,
                expected_fn expected, crashed_fn crashed);
    ~crash_watch();
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    /// The connection of an attempt in flight was lost. `result`, if set, is called at once or
    /// later; then the crash, if it is one, has been reported. Returns 0 if it was called at once.
    std::uint64_t attempt_broke(const attempt_target& target, crashed_attempt attempt,
                                result_fn result);
    /// Its result is no longer wanted. The crash is reported all the same.
    void cancel(std::uint64_t which);

private:
    struct waiting {
        std::uint64_t number = 0;
        crashed_attempt attempt;
        result_fn result;
    };
    struct check {
        std::unique_ptr<dial> connection;
        std::uint64_t timer = 0;
        bool expected = false;
        std::vector<waiting> attempts;
    };

    void start(const attempt_target& target, check& it);
    void settle(const std::string& backend, bool refused);

    crash_watch_settings settings_;
    scheduler& timers_;
    clock_fn now_;
    dial_fn connect_;
    expected_fn expected_;
    crashed_fn crashed_;
    std::map<std::string, check> open_; ///< by incarnation
    /// When an incarnation was found to have ended, and whether that was expected.
    std::map<std::string, std::pair<instant, bool>> ended_;
    std::vector<waiting> settling_; ///< those that are being notified
    std::uint64_t last_ = 0;
};

} // namespace hickorypost::gateway

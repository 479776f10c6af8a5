#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hickorypost::gateway {

struct backend_answer;

/// The time for which a response asks for no further requests (Retry-After).
struct backoff_statement {
    enum class kind_type : std::uint8_t {
        none,
        named,      ///< `seconds`
        unreadable, ///< the statement cannot be parsed
    };
    kind_type kind = kind_type::none;
    double seconds = 0;
};

/// A backend server's request to get no requests from this host for a time.
struct backoff_request {
    std::string backend;
    std::string request; ///< id of the rejected request; empty for a liveness probe
    millis wait{0};      ///< time for which this host backs off
    bool readable = true;
};

struct backoff_settings {
    /// Upper bound of the time that a response can ask for.
    millis max_wait{60'000};
    /// Applies to a rejection whose statement cannot be parsed.
    millis default_wait{1000};
};

/// Backend servers that have asked this host to send no requests for a time. A request to back off
/// is addressed to one host, so it is not shared with others. Performs no I/O itself.
class backend_backoff {
public:
    /// Called when a backend server asks for a time that ends later than the one known before.
    using requested_fn = std::function<void(const backoff_request&)>;

    backend_backoff(backoff_settings settings, clock_fn now, requested_fn requested);

    /// Applies an answer of the backend server to `request`. Only rejections (429, 503) count.
    void saw(const std::string& backend, const backend_answer& answer, std::string_view request);
    /// Drops the state of a backend server that has ended.
    void forget(std::string_view backend);
    /// Drops backoffs that have ended.
    void expire();

    /// Whether the backend server has asked for a time that has not passed.
    [[nodiscard]] bool is_backing_off(std::string_view backend) const;
    /// Number of backend servers that are backing off.
    [[nodiscard]] std::size_t count() const;

private:
    struct entry {
        instant until;
    };

    backoff_settings settings_;
    clock_fn now_;
    requested_fn requested_;
    std::map<std::string, entry, std::less<>> entries_; ///< by incarnation
};

} // namespace hickorypost::gateway

#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
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
    /// A backoff ends at random up to this fraction of its time later, but at most `max_jitter`, as
    /// many hosts are asked to back off at about the same time.
    double jitter_fraction = 0.1;
    millis max_jitter{500};
    /// For `recovery_time` after a backoff, or until the first answer that is no rejection,
    /// requests are sent at this interval. A backend server that still rejects does so within it.
    millis recovery_interval{50};
    millis recovery_time{1000};
};

/// Backend servers that have asked this host to send no requests for a time. A request to back off
/// is addressed to one host, so it is not shared with others. Performs no I/O itself.
class backend_backoff {
public:
    /// Called when a backend server asks for a time that ends later than the one known before.
    using requested_fn = std::function<void(const backoff_request&)>;

    backend_backoff(backoff_settings settings, clock_fn now, random_fn random,
                    requested_fn requested);

    /// Applies an answer of the backend server to `request`. Only rejections (429, 503) can ask for
    /// a backoff.
    void saw(const std::string& backend, const backend_answer& answer, std::string_view request);
    /// Records a request to the backend server, from which the next one keeps its distance while
    /// the backend server recovers.
    void sent(std::string_view backend);
    /// Drops the state of a backend server that has ended.
    void forget(std::string_view backend);
    /// Drops backoffs after which the backend servers have recovered.
    void expire();

    /// Whether the backend server has asked for a time that has not passed.
    [[nodiscard]] bool is_backing_off(std::string_view backend) const;
    /// Whether a request may be sent to the backend server now.
    [[nodiscard]] bool is_available(std::string_view backend) const;
    /// Time until a request may be sent to the backend server.
    [[nodiscard]] millis available_in(std::string_view backend) const;
    /// The shortest such time of several backend servers; empty if there are none.
    [[nodiscard]] std::optional<millis>
    first_available_in(std::span<const std::string> backends) const;
    /// Number of backend servers that are backing off.
    [[nodiscard]] std::size_t count() const;

private:
    struct entry {
        instant until;    ///< end of the backoff, as asked for
        instant next_due; ///< of the next request; not before `until`
    };

    backoff_settings settings_;
    clock_fn now_;
    random_fn random_;
    requested_fn requested_;
    std::map<std::string, entry, std::less<>> entries_; ///< by incarnation
};

} // namespace hickorypost::gateway

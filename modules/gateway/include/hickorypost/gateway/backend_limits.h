#pragma once

#include "hickorypost/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::gateway {

/// The rate limit that a response states for its backend server.
struct limit_statement {
    enum class kind_type : std::uint8_t {
        none,       ///< the backend server has no limit
        named,      ///< `per_second`
        unreadable, ///< the statement cannot be parsed
    };
    kind_type kind = kind_type::none;
    double per_second = 0; ///< requests from all hosts together
};

/// A host's request for a permit, sent to the coordinating host.
struct permit_request {
    std::string backend;
    double per_second = 0; ///< newest limit that the requesting host knows
    int priority = 0;      ///< of its most urgent waiting request; 0 is the most urgent
};

struct permit_reply {
    std::string backend;
    bool granted = false;
    millis room_in{0}; ///< expected time until a permit, if not `granted`
};

/// The start, change or end of a limit, as known to this host.
struct limit_change {
    std::string backend;
    std::optional<double> per_second; ///< empty if the limit has ended
    std::uint64_t sent = 0;           ///< requests that this host has sent under the limit
};

struct limit_settings {
    /// Time after which an unused permit expires.
    millis permit_lifetime{500};
    /// Interval at which a permit request is repeated until it is granted.
    millis request_retry_interval{250};
    /// For `urgent_hold` after a request was rejected for lack of a permit, each new permit is
    /// reserved for `urgent_reserve` for requests of at least the same priority.
    millis urgent_hold{1000};
    millis urgent_reserve{200};
    /// Time after which a limit is dropped if no response to any host has stated it.
    millis lifetime{60'000};
    /// Time without a reply from the coordinator after which this host sends without permits, at
    /// `uncoordinated_share` times its equal share of the limit.
    millis reply_timeout{1500};
    double uncoordinated_share = 0.5;
    /// Smallest relative change of a limit that is broadcast, and the minimum interval of
    /// broadcasts.
    double min_announced_change = 0.1;
    millis min_announce_interval{1000};
    /// Interval at which an unchanged limit is broadcast. A host may get no response from the
    /// backend server for long, while other hosts use the permits, and would drop the limit
    /// otherwise.
    millis refresh_interval{10'000};
    /// Permit requests in one message.
    std::size_t max_requests_per_message = 8;
};

/// The rate limits of backend servers, and this host's permits to send to them: limits that backend
/// servers state in their responses, and temporary ones while they warm up. Performs no I/O itself.
///
/// A limit applies to all hosts together, so one coordinating host grants permits to all. A host
/// that gets no replies from the coordinator sends at less than its equal share, and nothing to a
/// backend server that warms up: one request of each host may be more than it accepts in a second.
class backend_limits {
public:
    /// Called, at a bounded rate, for limits stated to this host that must be announced to others.
    using changed_fn = std::function<void(const limit_change&)>;
    /// Called, at a bounded rate, for a limit that cannot be parsed and is ignored.
    using unreadable_fn = std::function<void(const std::string& backend)>;
    /// Called when permit requests are ready to be sent.
    using requested_fn = std::function<void()>;

    backend_limits(limit_settings settings, clock_fn now, std::function<std::size_t()> hosts,
                   changed_fn changed, unreadable_fn unreadable, requested_fn requested);

    /// Applies the limit stated in a response of the backend server to this host.
    void saw(const std::string& backend, const limit_statement& statement);
    /// Effect of an announcement by another host.
    struct announcement {
        bool is_news = false; ///< must be forwarded
        std::optional<limit_change> change;
    };
    /// Applies an announcement by another host; an empty `limit` announces the end of the limit.
    announcement take(const std::string& backend, std::optional<double> limit);
    /// Limits a backend server until its warm-up ends. A limit that it states itself stays in
    /// force.
    void set_warm_up(const std::string& backend, double per_second, instant until);
    /// Drops the limits of a backend server without notification.
    void forget(std::string_view backend);
    /// Drops limits that no response has stated for `limit_settings::lifetime`, and those of
    /// warm-ups that have ended.
    void expire();

    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }
    /// The limit that the backend server has stated; empty if there is none.
    [[nodiscard]] std::optional<double> limit_of(std::string_view backend) const;
    /// Whether a request of this priority may be sent to the backend server now.
    [[nodiscard]] bool has_room(std::string_view backend, int priority) const;
    /// Records a request to the backend server, which uses up a permit.
    void sent(std::string_view backend);
    /// Registers a request that waits for a permit.
    void request_permit(std::string_view backend, int priority);
    /// Records a request that was rejected because no backend server had a permit for it.
    void note_rejection(int priority);
    /// Applies a reply of the coordinator.
    void replied(const permit_reply& reply);
    /// Expected time until one of `backends` has a permit.
    [[nodiscard]] millis room_in(std::span<const std::string> backends) const;
    /// Returns the permit requests to send now, by priority, then the least recently sent first.
    std::vector<permit_request> take_requests();
    /// All stated limits in requests per second, to initialize another host.
    [[nodiscard]] std::map<std::string, double> all() const;

private:
    struct entry {
        std::optional<double> stated;  ///< requests per second; empty: no stated limit
        instant confirmed_at;          ///< last stated by a response to any host
        double warm_up_per_second = 0; ///< applies until `warm_up_until`
        instant warm_up_until;
        std::optional<double> announced; ///< last value announced to other hosts
        instant announced_at;
        std::vector<instant> permits;        ///< times of grant, oldest first
        std::optional<int> pending_priority; ///< highest priority waiting for a permit
        instant requested_at;
        std::optional<instant> no_reply_since; ///< first permit request without a reply
        instant expected_permit_at;            ///< from the newest reply
        instant uncoordinated_due;             ///< next request without a permit
        std::uint64_t sent = 0;
    };

    [[nodiscard]] bool is_warming_up(const entry& it) const;
    /// The lowest limit in force, in requests per second; empty if there is none.
    [[nodiscard]] std::optional<double> effective_limit(const entry& it) const;
    /// Whether the coordinator does not reply and the next request without a permit is due.
    [[nodiscard]] bool may_send_uncoordinated(const entry& it) const;
    /// Creates or updates the stated limit of a backend server.
    void set_limit(const std::string& backend, double per_second);
    /// Removes the stated limit; drops the entry unless the backend server warms up.
    void clear_limit(std::string_view backend);

    limit_settings settings_;
    clock_fn now_;
    std::function<std::size_t()> hosts_;
    changed_fn changed_;
    unreadable_fn unreadable_;
    requested_fn requested_;
    std::map<std::string, entry, std::less<>> entries_; ///< by incarnation
    int rejected_priority_ = 0;                         ///< of the most urgent rejected request
    instant urgent_until_;
    instant unreadable_report_due_; ///< earliest time of the next report
};

} // namespace hickorypost::gateway

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

/// What an answer says of its backend server's limit.
struct limit_statement {
    enum class kind_type : std::uint8_t {
        none,       ///< it has no limit
        named,      ///< `per_second`
        unreadable, ///< nothing that can be understood
    };
    kind_type kind = kind_type::none;
    double per_second = 0; ///< requests, from all hosts together
};

/// A host's request for a permit, to the coordinating host.
struct permit_request {
    std::string backend;
    double per_second = 0; ///< the newest limit that the asking host knows
    int priority = 0;      ///< of its most urgent request that had no room; 0 is first
};

struct permit_reply {
    std::string backend;
    bool granted = false;
    millis room_in{0}; ///< until there is likely to be a permit, if not `granted`
};

/// A limit as this host knows it has begun, changed or ended.
struct limit_change {
    std::string backend;
    std::optional<double> per_second; ///< nothing: it has ended
    std::uint64_t sent = 0;           ///< requests that this host has sent there under the limit
};

struct limit_settings {
    /// A permit that is not used within this time is lost.
    millis permit_lifetime{500};
    /// A permit request without a grant is repeated after this long.
    millis ask_again{250};
    /// For this long after a request had no room, fresh permits are reserved for requests that are
    /// as urgent, each for `urgent_reserve`.
    millis urgent_hold{1000};
    millis urgent_reserve{200};
    /// A limit that no answer to any host has named for this long is forgotten.
    millis lifetime{60'000};
    /// Time without a reply after which this host sends without permits, at
    /// `uncoordinated_share` of an equal share of the limit.
    millis reply_timeout{1500};
    double uncoordinated_share = 0.5;
    /// Relative change of a limit that is broadcast, and the minimum interval of broadcasts.
    double min_announced_change = 0.1;
    millis min_announce_interval{1000};
    /// A limit that has not changed is broadcast this often: a host may get no answer of that
    /// backend server for long, as others use the permits.
    millis refresh_interval{10'000};
    /// Permits asked for in one turn.
    std::size_t max_requests_per_message = 8;
};

/// The limits that backend servers have named, and this host's permits to send to them. Performs no
/// I/O itself.
///
/// A limit is for all hosts together, so one host grants permits for all. A host that hears nothing
/// from it sends less than its equal share.
class backend_limits {
public:
    /// Called for what an answer to this host says and other hosts must know, at a bounded rate.
    using changed_fn = std::function<void(const limit_change&)>;
    /// Called for a limit that cannot be understood and is ignored, at a bounded rate.
    using unreadable_fn = std::function<void(const std::string& backend)>;
    /// Called when there are permit requests to be sent.
    using requested_fn = std::function<void()>;

    backend_limits(limit_settings settings, clock_fn now, std::function<std::size_t()> hosts,
                   changed_fn changed, unreadable_fn unreadable, requested_fn requested);

    /// An answer of that backend server to this host.
    void saw(const std::string& backend, const limit_statement& statement);
    /// What another host has announced.
    struct announcement {
        bool is_news = false; ///< to be passed on
        std::optional<limit_change> change;
    };
    /// Another host has announced a limit, or that it has ended (nothing).
    announcement take(const std::string& backend, std::optional<double> limit);
    void forget(std::string_view backend);
    void expire();

    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }
    [[nodiscard]] std::optional<double> limit_of(std::string_view backend) const;
    /// Whether a request of this priority may be sent there now.
    [[nodiscard]] bool has_room(std::string_view backend, int priority) const;
    /// A request is sent there: uses a permit.
    void sent(std::string_view backend);
    /// A request would be sent there if there were a permit.
    void request_permit(std::string_view backend, int priority);
    /// A request found no room anywhere.
    void note_rejection(int priority);
    void replied(const permit_reply& reply);
    /// When there is likely to be room on one of these, as far as is known.
    [[nodiscard]] millis room_in(std::span<const std::string> backends) const;
    /// Permit requests to be sent now: by priority, then least recently sent first.
    std::vector<permit_request> take_requests();
    /// All limits, for a host that has just begun to listen.
    [[nodiscard]] std::map<std::string, double> all() const;

private:
    struct entry {
        double per_second = 0;
        instant named;                   ///< by an answer to any host
        std::optional<double> announced; ///< to other hosts
        instant announced_at;
        std::vector<instant> permits; ///< when each was granted, oldest first
        std::optional<int> wanted;    ///< priority of a caller's request without a permit
        instant asked;
        std::optional<instant> unanswered_since; ///< the first permit request without a reply
        instant room_at;                         ///< when there is likely to be a permit
        instant uncoordinated_due; ///< next request without a permit, if nobody grants any
        std::uint64_t sent = 0;
    };

    [[nodiscard]] bool uncoordinated(const entry& it) const;
    void begin(const std::string& backend, double per_second);

    limit_settings settings_;
    clock_fn now_;
    std::function<std::size_t()> hosts_;
    changed_fn changed_;
    unreadable_fn unreadable_;
    requested_fn requested_;
    std::map<std::string, entry, std::less<>> entries_; ///< by incarnation
    int short_priority_ = 0;                            ///< of the most urgent request without room
    instant short_until_;
    instant unreadable_due_; ///< the next one is reported from then on
};

} // namespace hickorypost::gateway
